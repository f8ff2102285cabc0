package beechstore

import (
	"net/netip"
	"time"
)

type (
	// GrantRequest is the body of POST /v1/leases.
	GrantRequest struct {
		TTLMillis int64 `json:"ttl"`
	}

	// GrantReply answers POST /v1/leases and POST /v1/leases/ID.
	GrantReply struct {
		ID        string `json:"id"`
		TTLMillis int64  `json:"ttl"`
	}

	// WireHost is one host in the reply to GET /v1/hosts.
	WireHost struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		Zone    string         `json:"zone"`
		Role    string         `json:"role"`
		Leaving bool           `json:"leaving,omitempty"`
	}

	// ErrorReply is the body of a reply with a status other than 2xx.
	ErrorReply struct {
		Error string `json:"error"`
	}
)

// Paths, headers and limits of the protocol that doc.go describes.
const (
	PathValues    = "/v1/values/"
	PathLeases    = "/v1/leases"
	PathHosts     = "/v1/hosts"
	HeaderVersion = "Version"
	HeaderEra     = "Era"
	HeaderLease   = "Lease"
	QueryWatch    = "watch"
	QueryWait     = "wait"
	MaxValueBytes = 1 << 20
	MaxWait       = 30 * time.Second
)

// Wire returns the host in the form that is sent.
func (h Host) Wire() WireHost { return WireHost(h) }

// Host returns the received host as a Host.
func (l WireHost) Host() Host { return Host(l) }
