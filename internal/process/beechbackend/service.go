package beechbackend

import (
	"context"
	"net/http"
	"net/netip"
)

// httpService implements Service for any HTTP service.
type httpService struct {
	server    serverClient
	single    serverClient // a connection for each request
	readyPath string
}

// NewService returns the Service for a plain service at address. Ready requests
// readyPath, or / if that is empty.
func NewService(address netip.AddrPort, readyPath string, client *http.Client) Service {
	return httpService{server: newServerClient(address, client), single: newSingleUseClient(address, client), readyPath: readyPath}
}

// Relay sends a request and returns the service's answer unchanged. An error status is
// returned as Refused only if the service states in RanHeader that it did not run the
// request: a status alone, even 503, may come from a request that failed partway.
func (s httpService) Relay(ctx context.Context, r RelayRequest) (*Answer, error) {
	const step = "relay"
	server := s.server
	if r.RequestID == "" {
		server = s.single // nothing tells its answer from another
	}
	response, err := server.send(ctx, step, r.Method, r.Path, r.RequestID, r.ContentType, r.Header, r.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(RanHeader) == "no" {
		return nil, server.readRefusal(step, response)
	}
	return server.newAnswer(ctx, step, response), nil
}

// Ready returns an error if the service does not answer or answers with a status of
// 500 or above. Lower statuses count as ready, since not every service has a path for
// readiness checks.
func (s httpService) Ready(ctx context.Context) error {
	path := s.readyPath
	if path == "" {
		path = "/"
	}
	response, err := s.server.send(ctx, "check readiness", http.MethodGet, path, "", "", nil, nil)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return s.server.readRefusal("check readiness", response)
	}
	return response.Body.Close()
}
