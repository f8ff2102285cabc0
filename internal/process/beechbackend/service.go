package beechbackend

import (
	"context"
	"net/http"
	"net/netip"
)

// plainService is any HTTP service.
type plainService struct {
	peer      peer
	readyPath string
}

// NewService returns the adapter for a plain service at address. Ready asks for
// readyPath, and only connects where it is empty.
func NewService(address netip.AddrPort, readyPath string, client *http.Client) Service {
	return plainService{peer: newPeer(address, client), readyPath: readyPath}
}

// Relay returns the service's answer as it is. It is Refused only where the
// service says by RanHeader that it did not run the request: a status alone,
// also 503, may come from something that failed half way.
func (s plainService) Relay(ctx context.Context, r RelayRequest) (*Answer, error) {
	const step = "relay"
	response, err := s.peer.send(ctx, step, r.Method, r.Path, r.RequestID, r.ContentType, r.Header, r.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(RanHeader) == "no" {
		return nil, s.peer.refusal(step, response)
	}
	return s.peer.answer(ctx, step, r.RequestID, response)
}

// Ready tells whether the service serves. Any answer but a server's error will
// do, since not every service has a path for it.
func (s plainService) Ready(ctx context.Context) error {
	path := s.readyPath
	if path == "" {
		path = "/"
	}
	response, err := s.peer.send(ctx, "check readiness", http.MethodGet, path, "", "", nil, nil)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return s.peer.refusal("check readiness", response)
	}
	return response.Body.Close()
}
