package beechentry

import (
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechintake"
	"github.com/beechring/beechring/internal/process/beechbody"
	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

const (
	// bodyMemoryShare of the process's memory, one part is for callers' bodies and what they are decoded
	// into. The rest is for what the process needs without callers, open streams, connections and garbage.
	bodyMemoryShare = 4
	// streamBodyBytes is what each open stream may hold of it where the memory is not known.
	streamBodyBytes = 128 << 10
	megabyte        = 1 << 20
	// bodyCopies is how often a body is held: as it came, and decoded.
	bodyCopies = 2
	// decodingMargin is for the values of a body that is mostly text.
	decodingMargin = 1 << 20
)

func newIntake(s *beechsettings.Entry, clock clockwork.Clock) *beechintake.Intake {
	capacity := s.Memory * megabyte / bodyMemoryShare
	if s.Memory == 0 {
		capacity = s.Limits.Streams * streamBodyBytes
	}
	intake := beechintake.New(beechintake.Settings{Capacity: capacity, BodyTime: time.Duration(s.Limits.BodyTime)}, clock)
	intake.RoomFor(bodyCopies*s.Limits.BodyBytes + beechbody.HeadCopies*s.Limits.HeaderBytes + decodingMargin)
	return intake
}

// readBody reads the whole body within the limits of size and time, and the memory for all bodies.
func (e *Entry) readBody(w *beechending.Request, r *http.Request, workspace *beechmanifest.Workspace) (*beechbody.Body, *failure) {
	limit := e.settings.Limits.BodyBytes
	if workspace.MaxBodyBytes > 0 {
		limit = min(limit, workspace.MaxBodyBytes)
	}
	allowed := time.Duration(e.settings.Limits.BodyTime)
	defer e.endBodyRead(w)()
	body, err := e.bodies.Read(http.NewResponseController(w), r, workspace.Name, beechbody.Limits{Bytes: int64(limit), Time: allowed})
	if err == nil {
		w.WholeRequestRead()
		return body, nil
	}
	f := notRun(http.StatusRequestTimeout, typeInvalid, "body_not_read", "the body did not arrive within %s", allowed)
	var tooLarge *beechbody.TooLargeError
	if errors.As(err, &tooLarge) {
		f = notRun(http.StatusRequestEntityTooLarge, typeInvalid, "body_too_large", "the body is larger than %d bytes", limit)
	}
	if refused := e.refusedBody(workspace, err); refused != nil {
		f = refused
	}
	if e.ending.Err() != nil {
		f = stoppingFailure(0)
	}
	return nil, f
}

// expectDecoded reserves memory for what a body is decoded into. After a failure the body is released.
func (e *Entry) expectDecoded(body *beechbody.Body, workspace *beechmanifest.Workspace, bytes int) *failure {
	err := body.Expect(bytes)
	if err == nil {
		return nil
	}
	body.Release()
	if !e.intake.CanHold(len(body.Data) + bytes) {
		return notRun(http.StatusRequestEntityTooLarge, typeInvalid, "body_too_large", "the body takes %d MB to decode, more than this entry host has", bytes/megabyte)
	}
	return e.refusedBody(workspace, err)
}

// refusedBody returns the failure of a request for whose body there is no memory, or nil if err is another
// error.
func (e *Entry) refusedBody(workspace *beechmanifest.Workspace, err error) *failure {
	var refused *beechbody.RefusedError
	if !errors.As(err, &refused) {
		return nil
	}
	state := e.intake.State()
	e.limitLog.Warn("body refused", beechlog.Workspace(workspace.Name), zap.String("cause", string(refused.Cause)),
		zap.Duration("after", refused.After), zap.Int("held", state.Held), zap.Int("memory", state.Capacity), zap.Int("bodies", state.Bodies))
	return retryLater(http.StatusServiceUnavailable, "entry_full", refused.After, "this entry host has no memory for the body")
}

// refuse answers a request that is not run, and ends its connection if its body was not read.
func (e *Entry) refuse(w *beechending.Request, r *http.Request, f *failure) {
	if r.Body == http.NoBody || w.RequestWasRead() {
		f.write(w)
		return
	}
	w.Header().Set("Connection", "close")
	f.write(w)
	e.bodies.Dismiss(http.NewResponseController(w), r)
}
