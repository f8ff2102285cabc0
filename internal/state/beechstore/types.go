package beechstore

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Importance is the rank of a call in the call budget: claims before
	// configuration, configuration before all other calls.
	Importance int

	// Value is the content of a key. Version is 0 if the key does not exist. Era rises each
	// time that the service is restored from a copy, and versions are then given out again.
	Value struct {
		Key     string
		Version uint64
		Era     uint64
		Data    []byte
	}

	// Lease ends TTL after it was requested, by the monotonic clock of the
	// process that requested it, unless it is kept alive.
	Lease struct {
		ID      string
		TTL     time.Duration
		Expires time.Time
	}

	// Host is an entry of the platform's host list, which lags behind reality.
	Host struct {
		Name    string
		Address netip.AddrPort // link address of the agent or the entry process
		Zone    string
		Role    string // entry or agent
		Leaving bool
	}

	// Store is the platform's key-value service and host list. Another service
	// needs only another implementation. Errors are Refused, Conflict,
	// UnknownOutcome and OverBudget.
	Store interface {
		Get(ctx context.Context, key string, importance Importance) (Value, error)
		// CompareAndSwap writes data if the key is at version; version 0
		// creates the key. If lease is not empty, the key is deleted when the
		// lease ends.
		CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, importance Importance) (Value, error)
		Delete(ctx context.Context, key string, version uint64, importance Importance) error
		// Watch returns when the key's version differs from version, or with
		// an unchanged value when the service ends the wait.
		Watch(ctx context.Context, key string, version uint64, importance Importance) (Value, error)
		Grant(ctx context.Context, ttl time.Duration, importance Importance) (Lease, error)
		KeepAlive(ctx context.Context, lease Lease, importance Importance) (Lease, error)
		Hosts(ctx context.Context, importance Importance) ([]Host, error)
	}
)

// Importance values, the most important first.
const (
	ImportanceClaim Importance = iota
	ImportanceConfiguration
	ImportanceOther
)
