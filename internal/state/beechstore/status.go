package beechstore

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var errNoVersion = errors.New("reply has no valid Version header, so it is not from the platform's service")

// transportError returns the error of a call that got no valid answer, and
// selects the next address. If the connection was never made, nothing was
// sent, so even a write certainly had no effect.
func (c *client) transportError(cl call, err error) error {
	peer := c.peer()
	c.addressIndex.Add(1)
	var op *net.OpError
	if cl.write && !(errors.As(err, &op) && op.Op == "dial") {
		return UnknownOutcome{Step: cl.step, Peer: peer, Err: err}
	}
	return Refused{Step: cl.step, Peer: peer, After: c.settings.Backoff, Err: err}
}

func (c *client) checkStatus(cl call, r reply, h http.Header) error {
	err := fmt.Errorf("status %d: %s", r.status, strings.TrimSpace(string(r.body[:min(len(r.body), 256)])))
	if requiresVersion(cl, r.status) && !r.hasVersion {
		// The answer is not from the service but, for example, an error page
		// of a proxy. A 404 from a proxy must not be read as a missing key.
		return c.transportError(cl, fmt.Errorf("%w: %w", errNoVersion, err))
	}
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		if cl.method == http.MethodGet {
			return nil
		}
		return Refused{Step: cl.step, Peer: c.peer(), Err: err}
	case http.StatusPreconditionFailed:
		return Conflict{Step: cl.step, Peer: c.peer(), Current: r.version}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused{Step: cl.step, Peer: c.peer(), After: c.retryAfter(h), Err: err}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		return Refused{Step: cl.step, Peer: c.peer(), Err: err}
	}
	return c.transportError(cl, err)
}

func requiresVersion(cl call, status int) bool {
	switch status {
	case http.StatusOK:
		return cl.expectsVersion
	case http.StatusNotFound:
		return cl.method == http.MethodGet && cl.expectsVersion
	case http.StatusPreconditionFailed:
		return true
	}
	return false
}

func (c *client) retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return c.settings.Backoff
	}
	return time.Duration(seconds) * time.Second
}
