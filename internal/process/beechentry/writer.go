package beechentry

import (
	"bytes"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechending"
)

type (
	// answerWriter sends an answer to the caller. Streamed answers are sent piece
	// by piece. Plain ones are buffered until they are complete, so that the
	// caller never gets a part of an answer from a server that crashed.
	answerWriter interface {
		// restart discards the buffered output of an earlier attempt.
		restart()
		writeHead(h answerHead)
		writePiece(sequence uint64, data []byte) error
		end() error
		fail(f *failure)
		// nothingSent reports whether the caller has received nothing yet.
		nothingSent() bool
	}

	// answerHead is the status line and headers of an answer, and the generation
	// that it comes from.
	answerHead struct {
		status      int
		contentType string
		headers     []beechwire.Header
		source      generationRef
	}

	streamWriter struct {
		out         *beechending.Request
		control     *http.ResponseController
		signer      *streamSigner
		workspace   string
		writeTime   time.Duration
		prefix      string // of the event ids, up to the sequence
		skipThrough uint64 // the caller already has the events up to this sequence
		started     bool
		raw         bool // not an event stream, as an engine's rejection of a parameter
		buffer      []byte
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
	eventStream     = "text/event-stream"
	writeChunkBytes = 64 << 10
)

func newAnswerWriter(w *beechending.Request, j *job, signer *streamSigner, writeTime time.Duration) answerWriter {
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

// writeHead starts the caller's stream with the first attempt that is answered.
// For later attempts it only changes which generation the event ids refer to.
func (s *streamWriter) writeHead(h answerHead) {
	s.prefix = s.signer.prefix(s.workspace, streamID{Agent: h.source.agent, Incarnation: h.source.incarnation, RequestID: h.source.requestID})
	if s.started {
		return
	}
	s.started = true
	s.out.BeginStream()
	s.raw = !strings.HasPrefix(h.contentType, eventStream)
	header := s.out.Header()
	header.Set("Content-Type", h.contentType)
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	s.out.WriteHeader(h.status)
}

// writePiece writes one event. The write deadline ends the stream of a caller
// that reads too slowly; such a caller can reconnect with the id of its last
// event.
func (s *streamWriter) writePiece(sequence uint64, data []byte) error {
	if sequence <= s.skipThrough {
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
	s.out.Complete()
	if s.raw {
		return nil
	}
	return s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamWriter) restart() {}

// fail sends an error event if the stream has started, so that no caller takes
// a partial answer for a complete one.
func (s *streamWriter) fail(f *failure) {
	if !s.started {
		f.write(s.out)
		return
	}
	s.out.TellFailure()
	b := append([]byte("event: error\ndata: "), f.json()...)
	_ = s.write(append(b, "\n\n"...))
}

func (s *streamWriter) nothingSent() bool { return !s.started }

// restart discards the body of an earlier attempt.
func (p *plainWriter) restart() { p.body = p.body[:0] }

func (p *plainWriter) writeHead(h answerHead) {
	p.status = h.status
	p.contentType = h.contentType
	p.headers = h.headers
}

func (p *plainWriter) writePiece(_ uint64, data []byte) error {
	p.body = append(p.body, data...)
	return nil
}

func (p *plainWriter) end() error {
	p.written = true
	header := p.out.Header()
	maps.Copy(header, beechconvert.HTTPHeader(p.headers))
	if p.contentType != "" {
		header.Set("Content-Type", p.contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(p.body)))
	p.out.WriteHeader(p.status)
	return p.writeBody()
}

// writeBody sets a write deadline for each chunk of the body: one deadline for
// the whole body would cut off callers on slow links, and without any a caller
// that stops reading would hold its answer in memory forever.
func (p *plainWriter) writeBody() error {
	for start := 0; start < len(p.body); start += writeChunkBytes {
		_ = p.control.SetWriteDeadline(time.Now().Add(p.writeTime))
		if _, err := p.out.Write(p.body[start:min(start+writeChunkBytes, len(p.body))]); err != nil {
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

func (p *plainWriter) nothingSent() bool { return !p.written }

// discardWriter is the response writer of an answer whose caller is gone.
type discardWriter struct{}

// Header implements http.ResponseWriter.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}
