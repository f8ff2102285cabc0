package beechsimulator

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

type (
	// Endless is a form in which an engine sends bytes that are no answer, until its connection is closed.
	Endless string

	// endlessForm is how the bytes of a form begin and what is repeated after that.
	endlessForm struct {
		begin  string // in which %s is the request's ID
		repeat string
	}
)

// The forms of endless answers.
const (
	EndlessBytes   Endless = "bytes that are not HTTP"
	EndlessStatus  Endless = "status line"
	EndlessField   Endless = "header field"
	EndlessFields  Endless = "header fields"
	EndlessInterim Endless = "interim responses"
	EndlessBody    Endless = "body without line ends"
	EndlessEvent   Endless = "event without end"
	EndlessLines   Endless = "lines without events"
	EndlessBlank   Endless = "blank lines"
)

// endlessPiece is how much is written at a time.
const endlessPiece = 16 << 10

const endlessHead = "HTTP/1.1 200 OK\r\nBeechring-Attempt-Id: %[1]s\r\nBeechring-Response-Seal: seal.%[1]s\r\nContent-Type: text/event-stream\r\n\r\n"

var endlessForms = map[Endless]endlessForm{
	EndlessBytes:   {"", "x"},
	EndlessStatus:  {"HTTP/1.1 200 ", "x"},
	EndlessField:   {"HTTP/1.1 200 OK\r\nX: ", "x"},
	EndlessFields:  {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
	EndlessInterim: {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	EndlessBody:    {endlessHead, "x"},
	EndlessEvent:   {endlessHead + "id: 1\n", "data: x\n"},
	EndlessLines:   {endlessHead, "xxxxxxx\n\n"},
	EndlessBlank:   {endlessHead, "\n"},
}

// EndlessForms returns all forms.
func EndlessForms() []Endless {
	return []Endless{EndlessBytes, EndlessStatus, EndlessField, EndlessFields, EndlessInterim, EndlessBody, EndlessEvent, EndlessLines, EndlessBlank}
}

// sendEndless sends bytes until the connection is closed.
func (e *Engine) sendEndless(w http.ResponseWriter, id string, faults EngineFaults) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can be taken over
	}
	defer c.Close()
	form := endlessForms[faults.Endless]
	begin := form.begin
	if strings.Contains(begin, "%") {
		begin = fmt.Sprintf(begin, id)
	}
	if _, err := c.Write([]byte(begin)); err != nil {
		return
	}
	piece := bytes.Repeat([]byte(form.repeat), endlessPiece/len(form.repeat))
	for {
		n, err := c.Write(piece)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.endlessBytes += int64(n)
		e.mu.Unlock()
		if faults.EndlessRate > 0 {
			time.Sleep(time.Second * time.Duration(n) / time.Duration(faults.EndlessRate))
		}
	}
}

// EndlessBytes returns how many bytes of endless answers were sent.
func (e *Engine) EndlessBytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endlessBytes
}
