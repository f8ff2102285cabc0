package beechsimulator

import (
	"bytes"
	"net/http"
	"sync/atomic"
)

type (
	// StorePath is the way of some processes to the store, which may be cut. It is safe for concurrent use.
	StorePath struct {
		Store http.Handler
		cut   atomic.Bool
	}

	// heldAnswer is an answer of the store that has not been passed on. It implements http.ResponseWriter.
	heldAnswer struct {
		header http.Header
		status int
		body   bytes.Buffer
	}
)

func (a *heldAnswer) Header() http.Header            { return a.header }
func (a *heldAnswer) WriteHeader(status int)         { a.status = status }
func (a *heldAnswer) Write(data []byte) (int, error) { return a.body.Write(data) }

// SetCut cuts the path, or heals it.
func (p *StorePath) SetCut(cut bool) { p.cut.Store(cut) }

// ServeHTTP answers nothing while the path is cut, nor watches that waited before.
func (p *StorePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := &heldAnswer{header: w.Header(), status: http.StatusOK}
	if !p.cut.Load() {
		p.Store.ServeHTTP(answer, r)
	}
	if p.cut.Load() {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes()) // a process that has gone needs none
}
