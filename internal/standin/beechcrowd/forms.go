package beechcrowd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Form is a way in which clients do not behave.
type Form struct {
	Name   string
	About  string
	behave func(v *visit) error // an error ends the visit
}

const (
	announcedBytes  = 1 << 30
	trickleInterval = 500 * time.Millisecond
	longHeadBytes   = 60 << 10
	greetingBytes   = 64
	smallChunkShare = 2 // of the largest body, very small chunks make up one part
	excessFactor    = 2 // of the largest body
	maxUnreadAsked  = 1000
)

// Forms lists all forms.
var Forms = []Form{
	{"length", "bodies with a length that stop one byte short of it", (*visit).stopShort},
	{"short", "small bodies with a length that stop one byte short of it", (*visit).stopShortSmall},
	{"chunks", "chunked bodies in large chunks that never end", (*visit).sendLargeChunks},
	{"small-chunks", "chunked bodies in chunks of one byte that never end", (*visit).sendSmallChunks},
	{"whole", "whole bodies of the largest size", (*visit).sendWhole},
	{"announced", "bodies that are announced far above the limit", (*visit).announceTooMuch},
	{"endless", "chunked bodies that go on above the limit", (*visit).sendEndless},
	{"heads", "long heads that never end", (*visit).sendHead},
	{"trickle", "bodies with a length of which a byte comes at a time", (*visit).trickle},
	{"idle", "connections on which nothing is sent", (*visit).idle},
	{"kept", "a good request, and on its connection a body that stops short", (*visit).greetAndStopShort},
	{"behind", "a whole request, and behind it bytes that nobody has asked for", (*visit).sendBehind},
	{"deaf", "good requests whose answers are not read", (*visit).askWithoutReading},
	{"mixed", "each client in one of several of these ways", (*visit).mix},
}

// mixture are the ways of the form mixed.
var mixture = []func(*visit) error{
	(*visit).stopShort, (*visit).sendLargeChunks, (*visit).sendWhole, (*visit).announceTooMuch, (*visit).sendHead, (*visit).trickle, (*visit).idle, (*visit).greetAndStopShort,
}

var errNoGreeting = errors.New("the first request was not answered")

// find returns the form with a name.
func find(name string) (Form, bool) {
	for _, f := range Forms {
		if f.Name == name {
			return f, true
		}
	}
	return Form{}, false
}

func (v *visit) stopShort() error {
	v.listen()
	size := v.crowd.settings.BodyBytes
	if err := v.sendHeadOf(size); err != nil {
		return err
	}
	return v.sendFiller(size - 1)
}

func (v *visit) stopShortSmall() error {
	v.listen()
	if err := v.sendHeadOf(greetingBytes); err != nil {
		return err
	}
	return v.sendFiller(greetingBytes - 1)
}

func (v *visit) sendLargeChunks() error {
	v.listen()
	if err := v.sendHeadOf(-1); err != nil {
		return err
	}
	return v.sendChunks(v.crowd.settings.BodyBytes-1, pieceBytes)
}

func (v *visit) sendSmallChunks() error {
	v.listen()
	if err := v.sendHeadOf(-1); err != nil {
		return err
	}
	return v.sendChunks(v.crowd.settings.BodyBytes/smallChunkShare, 1)
}

func (v *visit) sendWhole() error {
	v.listen()
	s := v.crowd.settings
	if err := v.sendHeadOf(s.BodyBytes); err != nil {
		return err
	}
	if err := v.send([]byte(s.Before)); err != nil {
		return err
	}
	if err := v.sendFiller(s.BodyBytes - len(s.Before) - len(s.After)); err != nil {
		return err
	}
	return v.send([]byte(s.After))
}

func (v *visit) announceTooMuch() error {
	v.listen()
	if err := v.sendHeadOf(announcedBytes); err != nil {
		return err
	}
	return v.sendFiller(excessFactor * v.crowd.settings.BodyBytes)
}

func (v *visit) sendEndless() error {
	v.listen()
	if err := v.sendHeadOf(-1); err != nil {
		return err
	}
	for {
		if err := v.sendChunks(pieceBytes, pieceBytes); err != nil {
			return err
		}
	}
}

func (v *visit) sendHead() error {
	v.listen()
	return v.send([]byte("POST " + v.crowd.settings.Path + " HTTP/1.1\r\nHost: crowd\r\nX-Filler: " + strings.Repeat("x", longHeadBytes)))
}

func (v *visit) trickle() error {
	v.listen()
	if err := v.sendHeadOf(v.crowd.settings.BodyBytes); err != nil {
		return err
	}
	v.hadTurn()
	for {
		select {
		case <-time.After(trickleInterval):
		case <-v.ended:
			return nil
		case <-v.crowd.stop:
			return nil
		}
		if err := v.send(filler[:1]); err != nil {
			return err
		}
	}
}

func (v *visit) idle() error {
	v.listen()
	return nil
}

func (v *visit) greetAndStopShort() error {
	if err := v.sendSmall(); err != nil {
		v.crowd.count(nil)
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(v.conn, 16), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil || response.Close {
		v.crowd.count(response)
		return errNoGreeting
	}
	return v.stopShort()
}

func (v *visit) sendBehind() error {
	v.listen()
	if err := v.sendSmall(); err != nil {
		return err
	}
	return v.sendFiller(v.crowd.settings.BodyBytes)
}

func (v *visit) askWithoutReading() error {
	for range maxUnreadAsked {
		if err := v.sendSmall(); err != nil {
			return err
		}
	}
	return nil
}

func (v *visit) mix() error { return mixture[v.client%len(mixture)](v) }

// sendSmall sends a small request that is whole.
func (v *visit) sendSmall() error {
	s := v.crowd.settings
	body := s.Before + string(filler[:greetingBytes]) + s.After
	if err := v.sendHeadOf(len(body)); err != nil {
		return err
	}
	return v.send([]byte(body))
}

// sendHeadOf sends the head of a request with a body of so many bytes, or in chunks if negative.
func (v *visit) sendHeadOf(size int) error {
	s := v.crowd.settings
	var head bytes.Buffer
	host := s.Host
	if host == "" {
		host = s.Address.String()
	}
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", s.Path, host)
	if s.Header != nil {
		v.crowd.mu.Lock()
		v.crowd.requests++
		n := v.crowd.requests
		v.crowd.mu.Unlock()
		_ = s.Header(n).Write(&head)
	}
	if size < 0 {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", size)
	}
	return v.send(head.Bytes())
}

func (v *visit) sendFiller(size int) error {
	for size > 0 {
		n := min(size, len(filler))
		if err := v.send(filler[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// sendChunks sends chunks of a size until they make up so many bytes.
func (v *visit) sendChunks(total, size int) error {
	chunk := append(fmt.Appendf(nil, "%x\r\n", size), filler[:size]...)
	chunk = append(chunk, "\r\n"...)
	batch := bytes.Repeat(chunk, max(1, pieceBytes/size/8))
	perBatch := len(batch) / len(chunk) * size
	for sent := 0; sent+perBatch <= total; sent += perBatch {
		if err := v.send(batch); err != nil {
			return err
		}
	}
	return nil
}

func (v *visit) send(data []byte) error {
	_, err := v.conn.Write(data)
	return err
}
