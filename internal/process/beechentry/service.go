package beechentry

import (
	"net/http"
	"strings"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

// serveService relays a call to a plain service unchanged.
func (e *Entry) serveService(w *beechending.Request, r *http.Request) {
	e.serve(w, r, e.readService)
}

func (e *Entry) readService(w *beechending.Request, r *http.Request, c *beechmanifest.Configuration, workspace *beechmanifest.Workspace) (*job, *failure) {
	name := r.PathValue("name")
	if _, known := c.Service(name); !known || !workspace.AllowsService(name) {
		return nil, notRun(http.StatusNotFound, typeNotFound, "service_not_found", "the service %q does not exist or this workspace may not use it", name)
	}
	deadline, f := callerDeadline(r)
	if f != nil {
		return nil, f
	}
	key, f := idempotencyKey(r)
	if f != nil {
		return nil, f
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath+name)
	once := c.NonIdempotent(name, r.Method, r.URL.Path[len(servicesPath+name):])
	if once && key == "" {
		return nil, notRun(http.StatusBadRequest, typeInvalid, "idempotency_key_required",
			"this call may not be repeated; give it an %s", headerIdempotency)
	}
	body, f := e.readBody(w, r, workspace)
	if f != nil {
		return nil, f
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	j := &job{configuration: c, workspace: workspace, body: body.Data, held: body, timeout: deadline}
	j.request = beechwire.Request{
		ID:          newRequestID(),
		Workspace:   workspace.Name,
		Service:     name,
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Headers:     beechconvert.WireRequestHeaders(r.Header),
		Generation:  c.Generation,
		Priority:    c.PriorityRank(workspace.Priority),
		Repeatable:  !once,
		BodyBytes:   len(body.Data),
	}
	j.setBody(body.Data, key)
	return j, nil
}
