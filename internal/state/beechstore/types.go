package beechstore

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Importance shares the call budget: claims go before configuration,
	// configuration before the rest.
	Importance int

	// Value is a key's content. Version is 0 for a key that is not there.
	Value struct {
		Key     string
		Version uint64
		Data    []byte
	}

	// Lease is a grant that ends TTL after it was asked for, by the asker's
	// monotonic clock, unless kept alive.
	Lease struct {
		ID      string
		TTL     time.Duration
		Expires time.Time
	}

	// Host is one line of the platform's list, which lags.
	Host struct {
		Name    string
		Address netip.AddrPort // link address of the agent, or of the entry
		Zone    string
		Role    string // entry or agent
		Leaving bool
	}

	// Store is the platform's key-value service and host list. The users' own
	// service fits in by one more implementation. Errors are of this package:
	// Refused, Conflict, UnknownOutcome, OverBudget.
	Store interface {
		Get(ctx context.Context, key string, importance Importance) (Value, error)
		// CompareAndSwap writes data where the key's version still is version;
		// 0 creates. A non-empty lease removes the key with the lease.
		CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, importance Importance) (Value, error)
		Delete(ctx context.Context, key string, version uint64, importance Importance) error
		// Watch returns when the key's version differs from version, or with
		// the same value when the service ends the wait.
		Watch(ctx context.Context, key string, version uint64, importance Importance) (Value, error)
		Grant(ctx context.Context, ttl time.Duration, importance Importance) (Lease, error)
		KeepAlive(ctx context.Context, lease Lease, importance Importance) (Lease, error)
		Hosts(ctx context.Context, importance Importance) ([]Host, error)
	}
)

// Importance values, the first served before the others.
const (
	ImportanceClaim Importance = iota
	ImportanceConfiguration
	ImportanceOther
)
