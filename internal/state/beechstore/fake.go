package beechstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Fake is an in-memory implementation of the platform's service. Tests use
	// it directly, and the stand-in serves it over HTTP. Its faults can be
	// changed at any time. All versions come from one counter, so a key that
	// is deleted and created again never gets an earlier version.
	Fake struct {
		clock clockwork.Clock

		mu       sync.Mutex
		revision uint64
		era      uint64
		values   map[string]fakeValue
		leases   map[string]fakeLease
		hosts    []hostList
		changed  chan struct{}
		faults   Faults
		counts   Counts
	}

	// Faults are the faults that a Fake injects.
	Faults struct {
		Down        bool // each call is refused and has no effect
		LoseReplies int  // number of writes that take effect and lose their reply
		LoseWrites  int  // number of writes that have no effect and lose their reply
		HostLag     time.Duration
	}

	// Counts are the numbers of calls so far. A waiting Watch counts as one
	// read.
	Counts struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	}

	fakeValue struct {
		version uint64
		data    []byte
		lease   string
	}

	// FakeSnapshot is a copy of a Fake's keys at one moment.
	FakeSnapshot struct {
		revision uint64
		values   map[string]fakeValue
	}

	fakeLease struct {
		ttl     time.Duration
		expires time.Time
	}

	hostList struct {
		setAt time.Time
		hosts []Host
	}
)

const fakePeer = "fake"

var (
	errDown      = errors.New("the service is down")
	errReplyLost = errors.New("reply was lost")
	errNoLease   = errors.New("lease does not exist or has expired")
	errTooLarge  = fmt.Errorf("value exceeds %d bytes", MaxValueBytes)

	_ Store = (*Fake)(nil)
)

// NewFake returns an empty Fake. The clock determines when leases end and when
// changes of the host list become visible.
func NewFake(clock clockwork.Clock) *Fake {
	return &Fake{
		clock:   clock,
		values:  map[string]fakeValue{},
		leases:  map[string]fakeLease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.notifyWatchers()
}

// SetHosts replaces the host list. The new list is visible after
// Faults.HostLag.
func (f *Fake) SetHosts(hosts []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, hostList{setAt: f.clock.Now(), hosts: slices.Clone(hosts)})
}

// ExpireLeases ends all leases now and deletes their keys.
func (f *Fake) ExpireLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.leases {
		f.removeLease(id)
	}
}

// Snapshot returns a copy of the current keys.
func (f *Fake) Snapshot() FakeSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FakeSnapshot{revision: f.revision, values: maps.Clone(f.values)}
}

// Restore replaces the contents with a snapshot, as after a failure: later writes and all leases
// are lost, and versions are given out again. The era rises by one.
func (f *Fake) Restore(from FakeSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision, f.values = from.revision, maps.Clone(from.values)
	maps.DeleteFunc(f.values, func(_ string, v fakeValue) bool { return v.lease != "" })
	clear(f.leases)
	f.notifyWatchers()
}

// Counts returns the numbers of calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Get implements Store.
func (f *Fake) Get(_ context.Context, key string, _ Importance) (Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.read("get " + key); err != nil {
		return Value{}, err
	}
	return f.value(key), nil
}

// CompareAndSwap implements Store.
func (f *Fake) CompareAndSwap(_ context.Context, key string, version uint64, data []byte, lease string, _ Importance) (Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	step := "compare and swap " + key
	if err := f.write(step); err != nil {
		return Value{}, err
	}
	if len(data) > MaxValueBytes {
		return Value{}, Refused{Step: step, Peer: fakePeer, Err: errTooLarge}
	}
	if f.values[key].version != version {
		return Value{}, Conflict{Step: step, Peer: fakePeer, Current: f.values[key].version}
	}
	if _, ok := f.leases[lease]; lease != "" && !ok {
		return Value{}, Refused{Step: step, Peer: fakePeer, Err: errNoLease}
	}
	f.revision++
	f.values[key] = fakeValue{version: f.revision, data: slices.Clone(data), lease: lease}
	f.notifyWatchers()
	return f.value(key), f.loseReply(step)
}

// Delete implements Store.
func (f *Fake) Delete(_ context.Context, key string, version uint64, _ Importance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	step := "delete " + key
	if err := f.write(step); err != nil {
		return err
	}
	if f.values[key].version != version {
		return Conflict{Step: step, Peer: fakePeer, Current: f.values[key].version}
	}
	delete(f.values, key)
	f.notifyWatchers()
	return f.loseReply(step)
}

// Watch implements Store. It waits for at most MaxWait.
func (f *Fake) Watch(ctx context.Context, key string, version uint64, _ Importance) (Value, error) {
	step := "watch " + key
	f.mu.Lock()
	err := f.read(step)
	f.mu.Unlock()
	if err != nil {
		return Value{}, err
	}
	end := f.clock.Now().Add(MaxWait)
	for {
		f.mu.Lock()
		f.removeExpiredLeases()
		v, changed, down, wait := f.value(key), f.changed, f.faults.Down, f.untilNextExpiry(end)
		f.mu.Unlock()
		switch {
		case down:
			return Value{}, Refused{Step: step, Peer: fakePeer, After: time.Second, Err: errDown}
		case v.Version != version || !f.clock.Now().Before(end):
			return v, nil
		}
		timer := f.clock.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return Value{}, Refused{Step: step, Peer: fakePeer, Err: ctx.Err()}
		}
		timer.Stop()
	}
}

// Grant implements Store.
func (f *Fake) Grant(_ context.Context, ttl time.Duration, _ Importance) (Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.write("grant"); err != nil {
		return Lease{}, err
	}
	f.revision++
	l := Lease{ID: fmt.Sprintf("lease-%d", f.revision), TTL: ttl, Expires: f.clock.Now().Add(ttl)}
	f.leases[l.ID] = fakeLease{ttl: ttl, expires: l.Expires}
	return l, f.loseReply("grant")
}

// KeepAlive implements Store.
func (f *Fake) KeepAlive(_ context.Context, lease Lease, _ Importance) (Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	step := "keep alive " + lease.ID
	if err := f.write(step); err != nil {
		return Lease{}, err
	}
	held, ok := f.leases[lease.ID]
	if !ok {
		return Lease{}, Refused{Step: step, Peer: fakePeer, Err: errNoLease}
	}
	held.expires = f.clock.Now().Add(held.ttl)
	f.leases[lease.ID] = held
	return Lease{ID: lease.ID, TTL: held.ttl, Expires: held.expires}, f.loseReply(step)
}

// Hosts implements Store.
func (f *Fake) Hosts(_ context.Context, _ Importance) ([]Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.read("hosts"); err != nil {
		return nil, err
	}
	var hosts []Host
	for _, l := range f.hosts {
		if f.clock.Since(l.setAt) >= f.faults.HostLag {
			hosts = l.hosts
		}
	}
	return slices.Clone(hosts), nil
}

func (f *Fake) read(step string) error {
	f.counts.Reads++
	return f.checkAvailable(step)
}

func (f *Fake) write(step string) error {
	f.counts.Writes++
	if err := f.checkAvailable(step); err != nil {
		return err
	}
	if f.faults.LoseWrites == 0 {
		return nil
	}
	f.faults.LoseWrites--
	return UnknownOutcome{Step: step, Peer: fakePeer, Err: errReplyLost}
}

func (f *Fake) checkAvailable(step string) error {
	f.removeExpiredLeases()
	if f.faults.Down {
		return Refused{Step: step, Peer: fakePeer, After: time.Second, Err: errDown}
	}
	return nil
}

func (f *Fake) loseReply(step string) error {
	if f.faults.LoseReplies == 0 {
		return nil
	}
	f.faults.LoseReplies--
	return UnknownOutcome{Step: step, Peer: fakePeer, Err: errReplyLost}
}

func (f *Fake) value(key string) Value {
	v := f.values[key]
	return Value{Key: key, Version: v.version, Era: f.era, Data: slices.Clone(v.data)}
}

func (f *Fake) notifyWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) removeExpiredLeases() {
	now := f.clock.Now()
	for id, l := range f.leases {
		if !now.Before(l.expires) {
			f.removeLease(id)
		}
	}
}

func (f *Fake) removeLease(id string) {
	delete(f.leases, id)
	for key, v := range f.values {
		if v.lease == id {
			delete(f.values, key)
		}
	}
	f.notifyWatchers()
}

func (f *Fake) untilNextExpiry(end time.Time) time.Duration {
	for _, l := range f.leases {
		if l.expires.Before(end) {
			end = l.expires
		}
	}
	return end.Sub(f.clock.Now())
}
