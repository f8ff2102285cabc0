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

	// endlessCalls are the calls of keepers and gates that an engine answers with bytes without end, in one form
	// after the other. The engine's lock guards them.
	endlessCalls struct {
		set  map[string]EndlessCall
		sent map[string]int // answers by call
	}

	// EndlessCall is how a call is answered with bytes without end, in one form after the other.
	EndlessCall struct {
		First int // of AllEndlessForms, with which it begins
		Rate  int // bytes a second; 0: as fast as they are read
	}
)

// The calls of keepers and gates, by the beginning of their paths.
const (
	CallReport = "/beechring/report"
	CallOrder  = "/beechring/order"
	CallEvents = "/beechring/kv-events"
	CallList   = "/beechring/kv-list"
	CallMove   = "/beechring/kv-move"
	CallDrop   = copyPath
	CallHealth = healthPath

	// CallRequest stands for forwarded requests.
	CallRequest = "request"
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

	EndlessLength         Endless = "body of a length"
	EndlessChunk          Endless = "chunk"
	EndlessChunks         Endless = "chunks"
	EndlessChunkLine      Endless = "size of a chunk"
	EndlessChunkExtension Endless = "extension of a chunk"
	EndlessTrailer        Endless = "trailer"
	EndlessTrailers       Endless = "trailers"
	EndlessDocument       Endless = "document"
)

// endlessPiece is how much is written at a time.
const endlessPiece = 16 << 10

const (
	endlessFields  = "HTTP/1.1 200 OK\r\nBeechring-Attempt-Id: %[1]s\r\nBeechring-Response-Seal: seal.%[1]s\r\nBeechring-Server-Load: 1,0,8,100\r\nContent-Type: text/event-stream\r\n"
	endlessHead    = endlessFields + "\r\n"
	endlessLength  = endlessFields + "Content-Length: 4611686018427387904\r\n\r\n"
	endlessChunked = endlessFields + "Transfer-Encoding: chunked\r\n\r\n"
)

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

	EndlessLength:         {endlessLength, "x"},
	EndlessChunk:          {endlessChunked + "4000000000000000\r\n", "x"},
	EndlessChunks:         {endlessChunked, "8\r\nxxxxxxxx\r\n"},
	EndlessChunkLine:      {endlessChunked, "1"},
	EndlessChunkExtension: {endlessChunked + "1;", "x"},
	EndlessTrailer:        {endlessChunked + "0\r\nX: ", "x"},
	EndlessTrailers:       {endlessChunked + "0\r\n", "X: x\r\n"},
	EndlessDocument:       {endlessHead + `{"held":[`, `["s","p",1],`},
}

// EndlessForms returns the forms that need no knowledge of lengths and chunks.
func EndlessForms() []Endless {
	return []Endless{EndlessBytes, EndlessStatus, EndlessField, EndlessFields, EndlessInterim, EndlessBody, EndlessEvent, EndlessLines, EndlessBlank}
}

// AllEndlessForms returns all forms.
func AllEndlessForms() []Endless {
	return append(EndlessForms(), EndlessLength, EndlessChunk, EndlessChunks, EndlessChunkLine, EndlessChunkExtension, EndlessTrailer, EndlessTrailers, EndlessDocument)
}

// SetEndlessCall has a call, or CallRequest, be answered with bytes without end from now on.
func (e *Engine) SetEndlessCall(call string, as EndlessCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endlessCalls.set[call] = as
}

// EndlessCalls returns how often a call was answered with bytes without end.
func (e *Engine) EndlessCalls(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endlessCalls.sent[call]
}

// sendEndlessCall answers a call with bytes without end, and reports whether it did.
func (e *Engine) sendEndlessCall(w http.ResponseWriter, r *http.Request) bool {
	call := r.URL.Path
	if strings.HasPrefix(call, CallDrop) {
		call = CallDrop
	}
	form, rate, endless := e.nextEndless(call)
	if endless {
		e.sendEndless(w, "", EngineFaults{Endless: form, EndlessRate: rate})
	}
	return endless
}

// nextEndless returns the form of the next answer to a call, if it is to be endless.
func (e *Engine) nextEndless(call string) (form Endless, rate int, endless bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	as, endless := e.endlessCalls.set[call]
	if !endless {
		return "", 0, false
	}
	forms := AllEndlessForms()
	form = forms[(as.First+e.endlessCalls.sent[call])%len(forms)]
	e.endlessCalls.sent[call]++
	return form, as.Rate, true
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
