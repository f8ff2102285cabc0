package beechentry

import (
	"bytes"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechshare"
)

type (
	// answerWriter gives an answer to the caller. Streamed answers go out piece
	// by piece; plain ones are held until they are whole, so that a server that
	// dies in the middle leaves the caller nothing half.
	answerWriter interface {
		// restart begins another attempt.
		restart()
		head(h answerHead)
		piece(sequence uint64, data []byte) error
		end() error
		fail(f *failure)
		// fresh tells whether the caller has been given nothing yet.
		fresh() bool
	}

	// answerHead is what an answer begins with, and where it is held.
	answerHead struct {
		status      int
		contentType string
		headers     []beechwire.Header
		at          placed
	}

	streamWriter struct {
		out       http.ResponseWriter
		control   *http.ResponseController
		signer    *streamSigner
		workspace string
		writeTime time.Duration
		prefix    string // of the event ids
		skip      uint64 // the caller has these already
		started   bool
		raw       bool // not events, as in an engine's refusal of a parameter
		buffer    []byte
	}

	plainWriter struct {
		out         http.ResponseWriter
		control     *http.ResponseController
		writeTime   time.Duration
		status      int
		contentType string
		headers     []beechwire.Header
		body        []byte
		written     bool
	}
)

const (
	eventStream = "text/event-stream"
	partBytes   = 64 << 10
)

func newAnswerWriter(w http.ResponseWriter, j *job, signer *streamSigner, writeTime time.Duration) answerWriter {
	if !j.request.Streamed {
		return &plainWriter{out: w, control: http.NewResponseController(w), writeTime: writeTime}
	}
	return &streamWriter{
		out:       w,
		control:   http.NewResponseController(w),
		signer:    signer,
		workspace: j.workspace.Name,
		writeTime: writeTime,
	}
}

// head starts the caller's stream at the first attempt that is answered. Later
// attempts only change where the event ids point.
func (s *streamWriter) head(h answerHead) {
	s.prefix = s.signer.prefix(s.workspace, streamID{Agent: h.at.agent, Incarnation: h.at.incarnation, RequestID: h.at.requestID})
	if s.started {
		return
	}
	s.started = true
	s.raw = !strings.HasPrefix(h.contentType, eventStream)
	header := s.out.Header()
	header.Set("Content-Type", h.contentType)
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	s.out.WriteHeader(h.status)
}

// piece writes one event. A caller that reads too slowly for too long is given
// up on by the write's deadline; it can come back with the last event's id.
func (s *streamWriter) piece(sequence uint64, data []byte) error {
	if sequence <= s.skip {
		return nil
	}
	if s.raw {
		return s.write(data)
	}
	b := s.buffer[:0]
	b = append(b, "id: "...)
	b = append(b, s.prefix...)
	b = append(b, idSeparator...)
	b = strconv.AppendUint(b, sequence, 10)
	b = append(b, "\ndata: "...)
	b = append(b, bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))...)
	b = append(b, "\n\n"...)
	s.buffer = b
	return s.write(b)
}

func (s *streamWriter) write(b []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTime))
	if _, err := s.out.Write(b); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamWriter) end() error {
	if s.raw {
		return nil
	}
	return s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamWriter) restart() {}

// fail ends a stream that has begun with an error event, so that no caller
// takes half an answer for a whole one.
func (s *streamWriter) fail(f *failure) {
	if !s.started {
		f.write(s.out)
		return
	}
	b := append([]byte("event: error\ndata: "), f.json()...)
	_ = s.write(append(b, "\n\n"...))
}

func (s *streamWriter) fresh() bool { return !s.started }

// restart drops what an earlier attempt left.
func (p *plainWriter) restart() { p.body = p.body[:0] }

func (p *plainWriter) head(h answerHead) {
	p.status = h.status
	p.contentType = h.contentType
	p.headers = h.headers
}

func (p *plainWriter) piece(_ uint64, data []byte) error {
	p.body = append(p.body, data...)
	return nil
}

func (p *plainWriter) end() error {
	p.written = true
	header := p.out.Header()
	maps.Copy(header, beechshare.Header(p.headers))
	if p.contentType != "" {
		header.Set("Content-Type", p.contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(p.body)))
	p.out.WriteHeader(p.status)
	return p.writeBody()
}

// writeBody gives each part of the body a deadline of its own: one for the whole
// would cut off callers on slow links, none would let one that has stopped
// reading hold its answer for ever.
func (p *plainWriter) writeBody() error {
	for start := 0; start < len(p.body); start += partBytes {
		_ = p.control.SetWriteDeadline(time.Now().Add(p.writeTime))
		if _, err := p.out.Write(p.body[start:min(start+partBytes, len(p.body))]); err != nil {
			return err
		}
	}
	return nil
}

func (p *plainWriter) fail(f *failure) {
	if !p.written {
		f.write(p.out)
	}
}

func (p *plainWriter) fresh() bool { return !p.written }
