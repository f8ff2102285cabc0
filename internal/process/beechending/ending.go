package beechending

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechsocket"
	"github.com/beechring/beechring/internal/process/beechlog"
)

type (
	// Door records the ends of the requests of one listener. It is safe for concurrent use.
	Door struct {
		clock   clockwork.Clock
		log     *zap.Logger // at most maxLogLines per second of each message
		version func() uint64
		fail    func(w http.ResponseWriter)
		counts  *expvar.Map
		dropped *expvar.Int
	}

	// Request is a request until the end of its handler. It implements http.ResponseWriter. It is
	// not safe for concurrent use.
	Request struct {
		ID      string
		Route   string // or what else the request is for
		Version uint64 // of the configuration under which it was admitted; 0: not admitted
		Sends   int    // attempts that may have run

		door       *Door
		writer     http.ResponseWriter
		http       *http.Request
		arrived    time.Time
		progress   progress
		streamed   bool // the answer ends with Complete
		complete   bool
		brokenOff  bool
		told       bool // a stream ends with word of its failure
		callerLeft bool
	}

	// Cause is why a request ended without a whole answer.
	Cause string

	// progress is how far a request has got.
	progress string
)

// The causes.
const (
	CallerClosed   Cause = "caller left, socket closed"
	CallerCanceled Cause = "caller left, context ended" // although its socket is open
	StreamBroken   Cause = "stream broken off"
	NoAnswer       Cause = "no answer"
	Panic          Cause = "panic"
)

const (
	headRead    progress = "head read"
	requestRead progress = "request read"
	answerBegun progress = "answer begun"

	// maxLogLines is the number of lines per second and message: all callers of a host may leave
	// at once.
	maxLogLines = 10
)

// NewDoor returns a door. Version returns that of the configuration in force; fail writes the response
// to a request of which it is not known whether it has run, with status 500.
func NewDoor(log *zap.Logger, clock clockwork.Clock, version func() uint64, fail func(w http.ResponseWriter)) *Door {
	d := &Door{clock: clock, version: version, fail: fail, counts: new(expvar.Map), dropped: new(expvar.Int)}
	d.log = beechlog.Sampled(log, maxLogLines, d.dropped)
	return d
}

// Begin returns a request whose head has been read. The handler writes its response to it.
func (d *Door) Begin(w http.ResponseWriter, r *http.Request) *Request {
	return &Request{door: d, writer: w, http: r, arrived: d.clock.Now(), progress: headRead}
}

// Counts returns the numbers of requests that ended without a whole answer, by cause.
func (d *Door) Counts() *expvar.Map { return d.counts }

// Count returns how many requests ended so for a cause.
func (d *Door) Count(c Cause) int64 {
	if n, ok := d.counts.Get(string(c)).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// Values returns the numbers of Counts.
func (d *Door) Values() map[string]int64 {
	values := make(map[string]int64)
	d.counts.Do(func(v expvar.KeyValue) {
		if n, ok := v.Value.(*expvar.Int); ok {
			values[v.Key] = n.Value()
		}
	})
	return values
}

// DroppedLines returns the number of log lines beyond maxLogLines.
func (d *Door) DroppedLines() *expvar.Int { return d.dropped }

// Header implements http.ResponseWriter.
func (q *Request) Header() http.Header { return q.writer.Header() }

// WriteHeader implements http.ResponseWriter.
func (q *Request) WriteHeader(status int) {
	q.progress = answerBegun
	q.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (q *Request) Write(data []byte) (int, error) {
	q.progress = answerBegun
	return q.writer.Write(data)
}

// Unwrap returns the writer below, for http.ResponseController.
func (q *Request) Unwrap() http.ResponseWriter { return q.writer }

// WholeRequestRead records that the request and its body have been read.
func (q *Request) WholeRequestRead() { q.progress = requestRead }

// RequestWasRead reports whether the request and its body have been read.
func (q *Request) RequestWasRead() bool { return q.progress != headRead }

// BeginStream records that the answer is complete only after Complete.
func (q *Request) BeginStream() { q.streamed = true }

// Complete records that the last part of an answer was written. It is optional for an answer that is
// no stream.
func (q *Request) Complete() { q.complete = true }

// BreakOff records that a stream is not completed, although the caller is there.
func (q *Request) BreakOff() { q.brokenOff = true }

// TellFailure records that the last part of a stream tells that it is not complete.
func (q *Request) TellFailure() { q.told = true }

// CallerLeft records that the answer is not completed since the caller has left.
func (q *Request) CallerLeft() { q.callerLeft = true }

// End ends the request. It must be deferred by the handler, whose panic it handles. If nothing was
// written to a caller that is there, it writes a failure. If the answer is not whole, it ends in a way
// that the caller cannot take for a complete one.
func (q *Request) End() {
	p := recover()
	if p != nil && p != http.ErrAbortHandler {
		q.endPanic(p, debug.Stack())
		return
	}
	cause := q.cause()
	if cause != "" {
		q.record(cause)
	}
	if p != nil {
		panic(p)
	}
	switch {
	case cause == "" || q.whole() || q.told:
	case q.progress != answerBegun && cause != CallerClosed:
		q.answerFault()
	default:
		// net/http closes the connection without the final chunk, so that the caller detects
		// the truncated response. Otherwise it would complete it, or answer 200: a caller that
		// has closed one direction only counts as gone, and reads on.
		panic(http.ErrAbortHandler)
	}
}

// whole reports whether the answer has its last part.
func (q *Request) whole() bool {
	return q.progress == answerBegun && (q.complete || !q.streamed) && !q.brokenOff
}

// cause returns why the answer is not whole, or an empty cause if it is.
func (q *Request) cause() Cause {
	switch {
	case q.brokenOff:
		return StreamBroken
	case q.whole() && !q.callerLeft:
		return ""
	case beechsocket.LookAt(q.http.Context()) == beechsocket.Closed:
		return CallerClosed
	case q.callerLeft || beechsocket.Departed(q.http.Context()):
		return CallerCanceled
	case q.progress == answerBegun:
		return StreamBroken
	}
	return NoAnswer
}

// endPanic ends a request whose handler has panicked.
func (q *Request) endPanic(p any, stack []byte) {
	q.door.counts.Add(string(Panic), 1)
	q.door.log.Error("handler panicked", append(q.fields(Panic), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", stack))...)
	switch {
	case q.progress != answerBegun:
		q.answerFault()
	case !q.complete:
		panic(http.ErrAbortHandler)
	}
}

// answerFault answers a request for which its handler has written nothing.
func (q *Request) answerFault() {
	clear(q.Header()) // some may have been set for an answer
	q.Header().Set("Connection", "close")
	q.door.fail(q.writer)
}

func (q *Request) record(c Cause) {
	q.door.counts.Add(string(c), 1)
	fields := q.fields(c)
	switch c {
	case CallerClosed:
		q.door.log.Info("caller left before the end of its answer", fields...)
	default:
		q.door.log.Warn("request ended without a whole answer", fields...)
	}
}

func (q *Request) fields(c Cause) []zap.Field {
	return []zap.Field{
		zap.String("request", q.ID), zap.String("route", q.Route), zap.String("cause", string(c)), zap.String("progress", string(q.progress)), zap.Int("sends", q.Sends),
		zap.Uint64("configuration", q.Version), zap.Uint64("now", q.door.version()), zap.Duration("took", q.door.clock.Since(q.arrived)),
	}
}
