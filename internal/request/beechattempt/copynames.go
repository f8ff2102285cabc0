package beechattempt

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// copyNames knows which run each recent copy is of. An answer to the call that makes a copy does not name the
	// run: a second copy of an earlier answer would have a run go on with the memory of another. It is safe for
	// concurrent use.
	copyNames struct {
		clock clockwork.Clock

		mu     sync.Mutex
		owners map[beechcall.CopyName]copyOwner
	}

	copyOwner struct {
		call string // ID
		at   time.Time
	}
)

const (
	// copyNameLifetime is above the time for which engines keep copies that nobody uses or frees.
	copyNameLifetime = 30 * time.Second
	maxCopyNames     = 4096
)

func newCopyNames(clock clockwork.Clock) *copyNames {
	return &copyNames{clock: clock, owners: make(map[beechcall.CopyName]copyOwner)}
}

// claim records that a copy is of a call's run. It returns false if it is known as that of another call.
func (c *copyNames) claim(name beechcall.CopyName, call string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if owner, known := c.owners[name]; known && owner.call != call && now.Sub(owner.at) < copyNameLifetime {
		return false
	}
	if len(c.owners) >= maxCopyNames {
		c.forget(now)
	}
	c.owners[name] = copyOwner{call: call, at: now}
	return true
}

// forget drops the names that are too old, or all if none is. The caller holds the lock.
func (c *copyNames) forget(now time.Time) {
	for name, owner := range c.owners {
		if now.Sub(owner.at) >= copyNameLifetime {
			delete(c.owners, name)
		}
	}
	if len(c.owners) >= maxCopyNames {
		clear(c.owners)
	}
}
