package beechmanifest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// manifestOfSize returns a manifest with n workspaces.
func manifestOfSize(n int) *Manifest {
	m := variant(0)
	m.Workspaces = nil
	for i := range n {
		name := fmt.Sprintf("workspace-%d", i)
		m.Workspaces = append(m.Workspaces, Workspace{
			Name: name, Keys: []string{sumOf([]byte(name))}, Priority: "one", Weight: 1, RequestsPerMin: 600, TokensPerMin: 600000, MaxConcurrent: 20,
		})
	}
	return m
}

func mustPublish(t *testing.T, store beechstore.Store, base uint64, m *Manifest) {
	t.Helper()
	o := Publish(context.Background(), store, clockwork.NewRealClock(), base, m)
	if o != (Accepted{Generation: base + 1}) {
		t.Fatalf("publish on generation %d: %T %+v", base, o, o)
	}
}

// corruptValue replaces the value of a key by change of it, or deletes the key if change returns
// nil.
func corruptValue(t *testing.T, store beechstore.Store, key string, change func([]byte) []byte) {
	t.Helper()
	ctx := context.Background()
	v, err := store.Get(ctx, key, 0)
	if err != nil || v.Version == 0 {
		t.Fatalf("no %s to spoil: %v", key, err)
	}
	if data := change(v.Data); data != nil {
		_, err = store.CompareAndSwap(ctx, key, v.Version, data, "", 0)
	} else {
		err = store.Delete(ctx, key, v.Version, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestPublishOneWorkspaceWritesOnePart(t *testing.T) {
	is := is.New(t)
	store := beechstore.NewFake(clockwork.NewRealClock())
	m := manifestOfSize(9300)
	mustPublish(t, store, 0, m)
	before := store.Counts()
	m.Workspaces[17].MaxConcurrent++
	mustPublish(t, store, 1, m)
	after := store.Counts()
	is.Equal(after.Writes-before.Writes, 2) // a part and the head
	m.Workspaces[17].MaxConcurrent++
	mustPublish(t, store, 2, m)
	is.Equal(store.Counts().Writes-after.Writes, 3) // a part and the head, and a stale part deleted
	g, back, err := Load(context.Background(), store)
	is.NoErr(err)
	is.Equal(g, uint64(3))
	newest, err := Published(context.Background(), store)
	is.NoErr(err)
	is.Equal(newest, uint64(3))
	is.Equal(encodedSum(back), encodedSum(m))
}

// A value in the key-value service is damaged, or was written by a newer version of the
// program, while processes run. Each process must report the error and keep its active
// configuration, rather than stop or use a part of the new one. Once the value is
// repaired, it must follow the head again.
func TestInvalidStoredValuesKeepActiveConfiguration(t *testing.T) {
	part := func(store beechstore.Store, i int) string {
		v, _ := store.Get(context.Background(), HeadKey, 0)
		h, _ := decodeHead(v)
		return partKey(h.Parts[i])
	}
	cases := []struct {
		name   string
		key    func(beechstore.Store) string
		change func([]byte) []byte
		want   string
	}{
		{"truncated head", nil, func(b []byte) []byte { return b[:len(b)/2] }, "manifest/head is corrupt"},
		{"altered head", nil, func(b []byte) []byte {
			return bytes.Replace(b, []byte(`"generation":2`), []byte(`"generation":9`), 1)
		}, "checksum"},
		{"newer head", nil, func(b []byte) []byte { return bytes.Replace(b, []byte(`"format":1`), []byte(`"format":2`), 1) }, "has format 2; this version reads formats up to 1"},
		{"lost head", nil, func([]byte) []byte { return nil }, "no manifest has been published"},
		{"truncated part", func(s beechstore.Store) string { return part(s, 1) }, func(b []byte) []byte { return b[:len(b)-1] }, "is corrupt"},
		{"missing part", func(s beechstore.Store) string { return part(s, 0) }, func([]byte) []byte { return nil }, "is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := clockwork.NewRealClock()
				store, holder := beechstore.NewFake(clock), NewHolder()
				mustPublish(t, store, 0, variant(0))
				var reports []error
				w := NewWatcher(store, holder, clock, WatcherSettings{Report: func(err error) { reports = append(reports, err) }})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = w.Serve(ctx) }()
				synctest.Wait()
				is.Equal(holder.Generation(), uint64(1))

				store.SetFaults(beechstore.Faults{Down: true})
				synctest.Wait()
				store.SetFaults(beechstore.Faults{})
				mustPublish(t, store, 1, variant(3))
				key := HeadKey
				if c.key != nil {
					key = c.key(store)
				}
				corruptValue(t, store, key, c.change)
				time.Sleep(time.Minute)
				is.Equal(holder.Generation(), uint64(1))
				is.True(w.Err() != nil)
				is.True(strings.Contains(w.Err().Error(), c.want))
				reads := store.Counts().Reads
				time.Sleep(time.Minute)
				is.True(store.Counts().Reads-reads < 300) // at most 5 reads per second while the value is invalid

				repairHead(t, store, c.key == nil)
				time.Sleep(5 * time.Second)
				is.Equal(holder.Generation(), uint64(3))
				is.NoErr(w.Err())
				cancel()
			})
		})
	}
}

// repairHead repairs the stored manifest as operators do: it publishes again if the head can be
// read, and restores the head if not.
func repairHead(t *testing.T, store beechstore.Store, headIsBad bool) {
	t.Helper()
	if !headIsBad {
		mustPublish(t, store, 2, variant(1))
		return
	}
	o := Publish(t.Context(), store, clockwork.NewRealClock(), 2, variant(1))
	if _, ok := o.(Accepted); ok {
		t.Fatal("published although the head cannot be read")
	}
	o = Restore(t.Context(), store, clockwork.NewRealClock(), 2, variant(1))
	var newer beechstore.NewerFormat
	if r, ok := o.(Refused); ok && errors.As(r.Err, &newer) {
		v, _ := store.Get(t.Context(), HeadKey, 0)
		if err := store.Delete(t.Context(), HeadKey, v.Version, 0); err != nil {
			t.Fatal(err)
		}
		o = Restore(t.Context(), store, clockwork.NewRealClock(), 2, variant(1))
	}
	if o != (Accepted{Generation: 3}) {
		t.Fatalf("restore: %T %+v", o, o)
	}
	if _, ok := Restore(t.Context(), store, clockwork.NewRealClock(), 7, variant(1)).(Refused); !ok {
		t.Fatal("restored although the head can be read")
	}
}

// The reply to a write of the head is lost and the key-value service stays down. Publish
// must return Unknown: after a reported failure a pipeline would publish the change again,
// after a reported success it would go on to the next, and either may be wrong.
func TestPublishReturnsUnknownIfOutcomeUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		mustPublish(t, store, 0, variant(0))
		lossy := &lostHeadReply{Fake: store}
		o := Publish(t.Context(), lossy, clock, 1, variant(0))
		_, ok := o.(Unknown)
		is.True(ok)
		store.SetFaults(beechstore.Faults{})
		changes, err := History(t.Context(), store)
		is.NoErr(err)
		is.Equal(changes[1].ID, o.(Unknown).Change) // the write took effect
	})
}

// lostHeadReply is a store that loses the reply to the first write of the head and is then
// down.
type lostHeadReply struct{ *beechstore.Fake }

func (c *lostHeadReply) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, i beechstore.Importance) (beechstore.Value, error) {
	if key == HeadKey {
		c.SetFaults(beechstore.Faults{LoseReplies: 1})
		defer c.SetFaults(beechstore.Faults{Down: true})
	}
	return c.Fake.CompareAndSwap(ctx, key, version, data, lease, i)
}

// A faulty pipeline generates a part that is larger than the key-value service accepts.
// The manifest must be refused before anything is written.
func TestPublishRefusesOversizedPart(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	store := beechstore.NewFake(clock)
	mustPublish(t, store, 0, variant(0))
	writes := store.Counts().Writes
	m := variant(0)
	for i := range 1000 {
		s := Service{Name: fmt.Sprintf("s%d", i)}
		for j := range 100 {
			s.Once = append(s.Once, OnceRule{Path: fmt.Sprintf("/%0400d", j)})
		}
		m.Services = append(m.Services, s)
	}
	refused, ok := Publish(t.Context(), store, clock, 1, m).(Refused)
	is.True(ok)
	is.True(strings.Contains(refused.Err.Error(), "allowed: at most"))
	is.Equal(store.Counts().Writes, writes)
}

// The key-value service is down for an hour. The process must keep its configuration, and
// within seconds of the recovery apply a change.
func TestWatcherRecoversAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store, holder := beechstore.NewFake(clock), NewHolder()
		mustPublish(t, store, 0, variant(0))
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWatcher(store, holder, clock, WatcherSettings{})
		go func() { _ = w.Serve(ctx) }()
		synctest.Wait()
		store.SetFaults(beechstore.Faults{Down: true})
		reads := store.Counts().Reads
		time.Sleep(time.Hour)
		is.Equal(holder.Generation(), uint64(1))
		is.True(w.Err() != nil)
		is.True(store.Counts().Reads-reads < 2*3600) // fewer than 2 attempts per second
		store.SetFaults(beechstore.Faults{})
		mustPublish(t, store, 1, variant(1))
		time.Sleep(5 * time.Second)
		is.Equal(holder.Generation(), uint64(2))
		is.NoErr(w.Err())
		cancel()
	})
}

// A process starts without peers, and the manifest has more parts than its call budget
// allows at once. If each attempt started again from the first part, the process would
// never get a configuration.
func TestLargeManifestLoadsWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store, holder := beechstore.NewFake(clock), NewHolder()
		mustPublish(t, store, 0, manifestOfSize(9300))
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWatcher(&budgeted{Fake: store}, holder, clock, WatcherSettings{})
		go func() { _ = w.Serve(ctx) }()
		time.Sleep(30 * time.Second)
		is.Equal(holder.Generation(), uint64(1))
		is.NoErr(w.Err())
		cancel()
	})
}

// budgeted is a store with a budget of 50 reads per second.
type budgeted struct {
	*beechstore.Fake
	second time.Time
	reads  int
}

func (b *budgeted) Get(ctx context.Context, key string, i beechstore.Importance) (beechstore.Value, error) {
	if now := time.Now().Truncate(time.Second); now != b.second {
		b.second, b.reads = now, 0
	}
	if b.reads++; b.reads > 50 {
		return beechstore.Value{}, beechstore.OverBudget{Step: "get " + key, After: time.Second}
	}
	return b.Fake.Get(ctx, key, i)
}
