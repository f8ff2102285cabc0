package beechsuspect

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const poison = 666

func newRegistries(n int) ([]*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	var out []*Registry
	for range n {
		out = append(out, New(Settings{}, clock))
	}
	return out, clock
}

// A request in a batch of 20 crashes each engine that runs it, and its caller retries through the same
// or another entry host. At most two engines may crash, the other 19 requests must be served, and the
// refusal must end.
func TestPoisonRequestIsStopped(t *testing.T) {
	for _, c := range []struct {
		name  string
		entry int // the entry host that gets the retry
	}{{"same entry", 0}, {"other entry", 1}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, clock := newRegistries(4) // two entry hosts, two agents
			exchange := func() {
				for range 2 {
					for _, from := range r {
						for _, to := range r {
							to.Merge(from.RecentChanges())
						}
					}
				}
				clock.Advance(time.Second)
			}
			batch := []uint64{poison}
			for f := range uint64(19) {
				batch = append(batch, f+1)
			}
			for _, f := range batch {
				is.Equal(r[0].Check(f, 0), Allow{})
				is.Equal(r[2].Check(f, 0), Allow{})
			}
			r[2].RecordCrash(batch)
			r[2].Merge(nil)
			r[0].Merge(r[2].RecentChanges()) // the heartbeat arrives before the failed replies
			r[0].RecordCrash(batch)
			exchange()
			crashes := 1
			for _, f := range batch {
				is.Equal(r[c.entry].Check(f, 0), Isolate{}) // one crash, reported twice
				is.Equal(r[3].Check(f, 0), Isolate{})
				if f == poison {
					r[3].RecordCrash([]uint64{f})
					r[c.entry].RecordCrash([]uint64{f})
					crashes++
				} else {
					r[3].RecordSuccess(f)
					r[c.entry].RecordSuccess(f)
				}
			}
			exchange()
			for _, each := range r {
				is.Equal(each.Check(poison, 0), Refuse{After: Defaults.RefusalTime - time.Second})
				for f := range uint64(19) {
					is.Equal(each.Check(f+1, 0), Allow{})
				}
			}
			is.Equal(crashes, 2)
			clock.Advance(Defaults.RefusalTime)
			is.Equal(r[0].Check(poison, 0), Isolate{})
			r[0].RecordCrash([]uint64{poison})
			is.Equal(r[0].Check(poison, 0), Refuse{After: 2 * Defaults.RefusalTime})
		})
	}
}

// Two processes send each other a crash with every heartbeat, each slightly delayed. The suspicion
// must expire nevertheless.
func TestUpdatesDoNotExtendSuspicions(t *testing.T) {
	is := is.New(t)
	r, clock := newRegistries(2)
	r[0].RecordCrash([]uint64{1})
	for range 40 * 60 {
		records := r[0].List()
		clock.Advance(500 * time.Millisecond)
		r[1].Merge(records)
		records = r[1].List()
		clock.Advance(500 * time.Millisecond)
		r[0].Merge(records)
	}
	is.Equal(r[0].Check(1, 0), Allow{})
	is.Equal(r[1].Check(1, 0), Allow{})
	is.Equal(len(r[0].List())+len(r[1].List()), 0)
}

// A process that was cut off still has a suspicion that others have cleared, and a request that was
// cleared crashes a server later. The later event must apply.
func TestLaterEventCounts(t *testing.T) {
	is := is.New(t)
	r, clock := newRegistries(2)
	r[0].RecordCrash([]uint64{1})
	r[1].Merge(r[0].List())
	clock.Advance(500 * time.Millisecond)
	r[1].RecordSuccess(1)
	r[1].Merge(r[0].List()) // outdated
	is.Equal(r[1].Check(1, 0), Allow{})
	r[0].Merge(r[1].List())
	is.Equal(r[0].Check(1, 0), Allow{})
	clock.Advance(time.Minute)
	r[0].RecordCrash([]uint64{1})
	r[1].Merge(r[0].List())
	is.Equal(r[1].Check(1, 0), Isolate{})
	clock.Advance(recentTime + time.Second)
	is.Equal(len(r[0].RecentChanges()), 0)
	is.Equal(len(r[0].List()), 1)
}

// The refusal of a request has ended and its caller retries. The entry host lets it run isolated, and
// so must the agent, which may not know of it. If the request crashes the engine again, the agent must
// count the earlier crashes too.
func TestRetryAfterRefusalReachesAgent(t *testing.T) {
	is := is.New(t)
	r, clock := newRegistries(2)
	entry, agent := r[0], r[1]
	entry.RecordCrash([]uint64{poison})
	is.Equal(entry.Check(poison, 0), Isolate{})
	entry.RecordCrash([]uint64{poison})
	clock.Advance(Defaults.RefusalTime)
	is.Equal(entry.Check(poison, 0), Isolate{})
	for range 3 { // attempts that were rejected for other reasons
		agent.RecordAttempt(poison, 2)
		is.Equal(agent.Check(poison, 0), Isolate{})
		entry.Merge(agent.RecentChanges())
		is.Equal(entry.Check(poison, 0), Isolate{})
	}
	agent.RecordCrash([]uint64{poison})
	is.Equal(agent.Check(poison, 0), Refuse{After: 2 * Defaults.RefusalTime})
	entry.Merge(agent.RecentChanges())
	is.Equal(entry.Check(poison, 0), Refuse{After: 2 * Defaults.RefusalTime})
	agent.RecordAttempt(0, 1)
	agent.RecordAttempt(1, -1)
	agent.RecordAttempt(2, 1<<40)
	is.Equal(len(agent.List()), 2)
	is.Equal(agent.Check(2, 0), Isolate{})
}

// Large batches crash repeatedly, and a process sends invalid records. Memory must be bounded, and
// requests that crashed twice must be kept.
func TestBounds(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := New(Settings{MaxRecords: 100, Retention: -1, RefusalTime: -1}, clock)
	r.RecordCrash([]uint64{poison})
	is.Equal(r.Check(poison, 0), Isolate{})
	r.RecordCrash([]uint64{poison, 0})
	for f := range uint64(2000) {
		clock.Advance(time.Millisecond)
		r.RecordCrash([]uint64{1000 + f})
	}
	is.Equal(len(r.List()), 100)
	is.Equal(r.List()[0].Fingerprint, uint64(poison))
	r = New(Settings{}, clock)
	r.Merge([]Record{
		{Fingerprint: 0, Crashes: 2},
		{Fingerprint: 1, Crashes: -5},
		{Fingerprint: 2, Crashes: 2, Age: 1 << 62},
		{Fingerprint: 3, Crashes: 1 << 40, Age: -time.Hour},
	})
	is.Equal(r.Check(0, 0), Allow{})
	is.Equal(r.Check(1, 0), Allow{})
	is.Equal(r.Check(2, 0), Allow{})
	is.Equal(r.Check(3, 0), Refuse{After: Defaults.Retention / 2})
	clock.Advance(-time.Hour)
	is.Equal(r.Check(3, 0), Refuse{After: Defaults.Retention / 2})
	r.RecordSuccess(99)
	is.Equal(len(r.List()), 1)
}

func BenchmarkCheck(b *testing.B) {
	r := New(Settings{}, clockwork.NewRealClock())
	for f := range uint64(1000) {
		r.RecordCrash([]uint64{f})
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		r.Check(i%2000, 0)
	}
}

// A request that ran beside two crashes of other causes must not be refused.
func TestExplainedCrashesDoNotCount(t *testing.T) {
	is := is.New(t)
	r := New(Settings{}, clockwork.NewFakeClock())
	r.RecordCrash([]uint64{poison})
	is.Equal(r.Check(poison, 0), Isolate{})
	r.RecordCrash([]uint64{poison})
	is.Equal(r.Check(poison, 0), Refuse{After: Defaults.RefusalTime})
	is.Equal(r.Check(poison, 1), Isolate{})
	is.Equal(r.Check(poison, 2), Allow{})
	r.RecordCrash([]uint64{poison})
	is.Equal(r.Check(poison, 1), Refuse{After: Defaults.RefusalTime}) // one that is explained, and two that are not
}
