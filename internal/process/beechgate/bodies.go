package beechgate

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechbody"
	"github.com/beechring/beechring/internal/request/beechcall"
)

const (
	bodyTime = 10 * time.Second // for a caller to send its body
	// bodyMemoryShare of the process's memory, one part, is for callers' bodies. The rest is for what the
	// process needs without callers, answers, connections and garbage.
	bodyMemoryShare = 8
	megabyte        = 1 << 20
)

// bodyMemory returns the bytes that callers' bodies may take together on a host with so many megabytes,
// or 0 for the default if that is not known.
func bodyMemory(megabytes int) int { return megabytes * megabyte / bodyMemoryShare }

// maxHead returns the operators' limit of a request's head, or 0 if they set none.
func (g *Gate) maxHead() int {
	if c := g.configuration.Load(); c != nil {
		return c.Limits.HeadBytes
	}
	return 0
}

// ReadBody reads the body of an admitted request. MaxBytes applies if the operators set no limit. Errors
// are those of beechbody.Reader.
func (g *Gate) ReadBody(control *http.ResponseController, r *http.Request, admitted Admitted, maxBytes int64) (*beechbody.Body, error) {
	if admitted.BodyBytes > 0 {
		maxBytes = admitted.BodyBytes
	}
	g.makeRoomForBody(maxBytes)
	defer g.endBodyReads(control)()
	return g.bodies.Read(control, r, admitted.Workspace.Name, beechbody.Limits{Bytes: maxBytes, Time: bodyTime})
}

// makeRoomForBody raises the memory for bodies if one of the largest size would not fit.
func (g *Gate) makeRoomForBody(maxBytes int64) {
	if g.intake.RoomFor(int(maxBytes) + beechbody.HeadCopies*maxHeaderBytes) {
		g.log.Warn("memory for bodies raised, as one of the largest size would not fit", zap.Int64("largest", maxBytes), zap.Int("memory", g.intake.State().Capacity))
	}
}

// DismissCaller ends the connection of a caller whose body was not read, after the response. It may panic
// with http.ErrAbortHandler.
func (g *Gate) DismissCaller(control *http.ResponseController, r *http.Request) {
	g.bodies.Dismiss(control, r)
}

// LogBodyRefused logs that there was no memory for the body of a call.
func (g *Gate) LogBodyRefused(call *beechcall.Call, refused *beechbody.RefusedError) {
	state := g.intake.State()
	g.limitLog.Warn("body refused", zap.String("request", call.ID), zap.String("workspace", call.Workspace.Name), zap.String("cause", string(refused.Cause)),
		zap.Duration("after", refused.After), zap.Int("held", state.Held), zap.Int("memory", state.Capacity), zap.Int("bodies", state.Bodies))
}
