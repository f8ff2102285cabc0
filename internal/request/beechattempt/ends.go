package beechattempt

import (
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// endCause is what ended an attempt.
	endCause string

	// attemptEnd tells how an attempt ended.
	attemptEnd struct {
		server  string // ID
		cause   endCause
		silence time.Duration // since its server's last data, or since it was sent
		begun   bool          // the caller has events of it
	}

	// attemptEnds counts how attempts ended, and which streams were broken off and why. It is safe for
	// concurrent use.
	attemptEnds struct {
		causes   *expvar.Map // attempts by cause
		broken   *expvar.Map // streams broken off, by what ended their answer and why they did not go on
		silences *expvar.Map // silent attempts, by what was done about it

		dropped atomic.Int64
		lastLog atomic.Int64 // Unix milliseconds
	}
)

const (
	endAnswered     endCause = "answered"
	endBroken       endCause = "server broke off"
	endSilent       endCause = "silence"
	endDeadline     endCause = "deadline"
	endCallerLeft   endCause = "caller left"
	endTurnedAway   endCause = "turned away"
	endNotSent      endCause = "not sent"
	endWithdrawn    endCause = "withdrawn before it was sent"
	endServerError  endCause = "server error"
	endOtherAnswer  endCause = "not the rest of the stream"
	endSoftware     endCause = "other software"
	endWeights      endCause = "weights expire"
	endServerGone   endCause = "server gone"
	endMalformed    endCause = "malformed answer"
	endMemory       endCause = "no memory"
	endNotConnected endCause = "caller not reached"
	endDropped      endCause = "another was first"

	// silenceLogInterval bounds the log lines on silent attempts: a zone that is cut off has all its
	// answers silent at once.
	silenceLogInterval = 100 * time.Millisecond
)

func newAttemptEnds() *attemptEnds {
	return &attemptEnds{causes: new(expvar.Map), broken: new(expvar.Map), silences: new(expvar.Map)}
}

// counts returns the values of a map of integers.
func counts(m *expvar.Map) map[string]int64 {
	values := make(map[string]int64)
	m.Do(func(v expvar.KeyValue) {
		if n, ok := v.Value.(*expvar.Int); ok {
			values[v.Key] = n.Value()
		}
	})
	return values
}

// ended records how the attempt under way ended.
func (r *execution) ended(cause endCause) {
	end := attemptEnd{server: r.choice.Server.ID, cause: cause, silence: r.silence(), begun: !r.begunAt.IsZero()}
	r.ends = append(r.ends, end)
	r.dispatcher.ends.causes.Add(string(cause), 1)
}

// silence returns how long ago the server of the attempt under way has sent data, or the attempt was sent.
func (r *execution) silence() time.Duration {
	from := r.sentAt
	if r.heardAt.After(from) {
		from = r.heardAt
	}
	return r.dispatcher.clock.Since(from)
}

// endFields tell an operator who ended the answer that the caller had events of, after how long a silence,
// and what became of the other attempts.
func (r *execution) endFields() []zap.Field {
	if len(r.ends) == 0 {
		return nil
	}
	last := r.lastBegun()
	end := r.ends[last]
	fields := []zap.Field{zap.String("endedBy", string(end.cause)), zap.String("by", end.server), zap.Duration("silence", end.silence)}
	var tried []string
	for i, other := range r.ends {
		if i != last {
			tried = append(tried, other.server+" "+string(other.cause))
		}
	}
	return append(fields, zap.Strings("tried", tried))
}

// lastBegun returns the index of the last attempt that the caller has events of, or of the first if there
// is none.
func (r *execution) lastBegun() int {
	for i := len(r.ends) - 1; i > 0; i-- {
		if r.ends[i].begun {
			return i
		}
	}
	return 0
}

// countBroken counts a stream that is broken off.
func (r *execution) countBroken() {
	cause := "not sent"
	if len(r.ends) > 0 {
		cause = string(r.ends[r.lastBegun()].cause)
	}
	if r.stop != "" {
		cause += ", " + string(r.stop)
	}
	r.dispatcher.ends.broken.Add(cause, 1)
}

// silent records that an attempt has been silent for too long, and what is done about it.
func (e *attemptEnds) silent(d *Dispatcher, request string, silence time.Duration, server beechplace.ServerState, done silenceAction) {
	e.silences.Add(string(done), 1)
	now, last := d.clock.Now().UnixMilli(), e.lastLog.Load()
	if now-last < silenceLogInterval.Milliseconds() || !e.lastLog.CompareAndSwap(last, now) {
		e.dropped.Add(1)
		return
	}
	d.log.Info("server silent", zap.String("request", request), zap.String("server", server.ID), zap.Duration("silence", silence),
		zap.Bool("reported", server.Reported), zap.Duration("reportAge", server.ReportAge), zap.Stringer("engine", server.Phase), zap.Int("underway", server.InFlight),
		zap.String("then", string(done)), zap.Int64("notLogged", e.dropped.Swap(0)))
}
