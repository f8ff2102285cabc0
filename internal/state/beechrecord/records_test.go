package beechrecord

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechstore"
)

var (
	testKey  = Key{Workspace: "desk", Name: "renewal-7"}
	testBody = BodySum{1}
	booked   = Ran{Status: 200, ContentType: "text/plain", Body: []byte("booked")}
)

// runVirtual runs test in virtual time with a fake service and a function that
// starts agents.
func runVirtual(t *testing.T, test func(*is.I, *beechstore.Fake, func(Settings) *Records)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		test(is.New(t), store, func(s Settings) *Records {
			s.Shards = 1
			r := New(store, clock, s)
			t.Cleanup(r.Close)
			return r
		})
	})
}

func claimAs(r *Records, requestID string) Answer {
	return r.Claim(context.Background(), testKey, testBody, requestID)
}

func doneAs(requestID string) Done {
	return Done{RequestID: requestID, Status: 200, ContentType: "text/plain", Body: []byte("booked"), Complete: true}
}

func TestRepeatGetsTheSameAnswer(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		first, second := agent(Settings{}), agent(Settings{})
		granted, ok := claimAs(first, "one").(Granted)
		is.True(ok)
		is.Equal(claimAs(second, "two"), Unknown{RequestID: "one"})
		is.Equal(second.Claim(context.Background(), testKey, BodySum{2}, "two"), Mismatch{RequestID: "one"})
		is.NoErr(first.Finish(context.Background(), testKey, granted.Token, booked))
		is.Equal(claimAs(first, "three"), doneAs("one"))
		is.Equal(claimAs(second, "four"), doneAs("one"))
		other := Key{Workspace: "portal", Name: testKey.Name}
		_, ok = second.Claim(context.Background(), other, testBody, "five").(Granted)
		is.True(ok) // keys of different workspaces are independent
	})
}

// The outcome of a claim is added to a segment after another agent has closed
// it. An agent that still used its cached copy of the closed segment would
// report the outcome as unknown.
func TestOutcomeInClosedSegmentIsFound(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		small := Settings{SegmentBytes: 300}
		first, second := agent(small), agent(small)
		granted := claimAs(first, "one").(Granted)
		for i := range 10 {
			key := Key{Name: fmt.Sprint(i)}
			_, ok := second.Claim(context.Background(), key, testBody, "x").(Granted)
			is.True(ok)
		}
		is.Equal(claimAs(second, "two"), Unknown{RequestID: "one"})
		is.NoErr(first.Finish(context.Background(), testKey, granted.Token, booked))
		is.Equal(claimAs(second, "three"), doneAs("one"))
	})
}

// The service goes down before the outcome is recorded and stays down for
// minutes. The outcome must be recorded afterwards, and repeats must get it.
func TestOutcomeIsRecordedAfterOutage(t *testing.T) {
	runVirtual(t, func(is *is.I, store *beechstore.Fake, agent func(Settings) *Records) {
		first := agent(Settings{})
		granted := claimAs(first, "one").(Granted)
		store.SetFaults(beechstore.Faults{Down: true})
		is.True(first.Finish(context.Background(), testKey, granted.Token, booked) != nil)
		time.Sleep(5 * time.Minute)
		is.Equal(first.Unrecorded(), 1)
		refused, ok := claimAs(agent(Settings{}), "elsewhere").(Refused)
		is.True(ok)
		is.True(strings.Contains(refused.Err.Error(), "the service is down"))
		store.SetFaults(beechstore.Faults{})
		time.Sleep(5 * time.Second)
		is.Equal(first.Unrecorded(), 0)
		is.Equal(claimAs(agent(Settings{}), "two"), doneAs("one"))
	})
}

// The caller disconnects while its claim is being written, so the token is
// returned to nobody. The agent must record that the request did not run;
// otherwise the key would stay unknown for a day.
func TestClaimOfDisconnectedCallerIsFreed(t *testing.T) {
	runVirtual(t, func(is *is.I, store *beechstore.Fake, _ func(Settings) *Records) {
		clock := clockwork.NewRealClock()
		slow := beechstore.NewFlaky(store, clock, 1, beechstore.FlakySettings{Delay: 100 * time.Millisecond})
		r := New(slow, clock, Settings{Shards: 1})
		defer r.Close()
		claimAs(r, "warm")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		key := Key{Name: "vanished"}
		_, ok := r.Claim(ctx, key, testBody, "one").(Unknown)
		cancel()
		is.True(ok)
		time.Sleep(10 * time.Second)
		_, ok = r.Claim(context.Background(), key, testBody, "two").(Granted)
		is.True(ok)
	})
}

// A repeat arrives while the first request is still running at the same agent,
// as after a dropped connection. It must get the first request's answer.
func TestRepeatWaitsForRunningRequest(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		r := agent(Settings{})
		granted := claimAs(r, "one").(Granted)
		var repeat Answer
		var wait sync.WaitGroup
		wait.Go(func() { repeat = claimAs(r, "two") })
		time.Sleep(time.Minute)
		is.NoErr(r.Finish(context.Background(), testKey, granted.Token, booked))
		wait.Wait()
		is.Equal(repeat, doneAs("one"))
	})
}

// A repeat is claimed in the same batch as the first request. It must wait for
// the outcome instead of getting Unknown at once.
func TestRepeatInTheSameBatchWaits(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		const keys = 300
		r := agent(Settings{})
		claimAs(r, "warm")
		var done, lost atomic.Int64
		var wait sync.WaitGroup
		for i := range keys {
			key := Key{Name: fmt.Sprint(i)}
			for _, id := range []string{"one", "two"} {
				wait.Go(func() {
					switch a := r.Claim(context.Background(), key, testBody, id).(type) {
					case Granted:
						time.Sleep(time.Second)
						is.NoErr(r.Finish(context.Background(), key, a.Token, booked))
					case Done:
						done.Add(1)
					default:
						lost.Add(1)
					}
				})
			}
		}
		wait.Wait()
		is.Equal(lost.Load(), int64(0))
		is.Equal(done.Load(), int64(keys))
	})
}

// A repeat reaches a different agent than the first request, as when entry
// hosts have different views of the agents. The first request ends shortly
// afterwards, and the repeat must get its outcome instead of Unknown.
func TestRepeatAtAnotherAgentWaitsForRunningRequest(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		first, second := agent(Settings{}), agent(Settings{})
		granted := claimAs(first, "one").(Granted)
		var repeat Answer
		var wait sync.WaitGroup
		wait.Go(func() { repeat = claimAs(second, "two") })
		time.Sleep(remoteClaimWait / 2)
		is.NoErr(first.Finish(context.Background(), testKey, granted.Token, booked))
		wait.Wait()
		is.Equal(repeat, doneAs("one"))
	})
}

// A repeat must not wait for an outcome that will never be known.
func TestRepeatOfAbandonedRequestDoesNotWait(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		r := agent(Settings{})
		r.Abandon(claimAs(r, "one").(Granted).Token)
		began := time.Now()
		is.Equal(claimAs(r, "two"), Unknown{RequestID: "one"})
		is.True(time.Since(began) < minPollInterval)
	})
}

// A claim is granted but its answer is lost with the connection. The caller
// has no token, so withdrawing the claim must free the key, but it must not
// affect the claim of a different request.
func TestWithdrawnClaimIsFreed(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		first, second := agent(Settings{}), agent(Settings{})
		_, ok := claimAs(first, "one").(Granted)
		is.True(ok)
		is.True(second.Withdraw(context.Background(), testKey, "another") != nil)
		is.Equal(claimAs(second, "two"), Unknown{RequestID: "one"})
		is.NoErr(second.Withdraw(context.Background(), testKey, "one"))
		granted, ok := claimAs(second, "three").(Granted)
		is.True(ok)
		is.True(first.Withdraw(context.Background(), testKey, "one") != nil) // the key now belongs to the third request
		is.NoErr(second.Finish(context.Background(), testKey, granted.Token, booked))
		is.NoErr(second.Withdraw(context.Background(), testKey, "three")) // no effect, since it ran
		is.Equal(claimAs(first, "four"), doneAs("three"))
	})
}

func TestNotRunFreesTheKeyForTheSameBody(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		r := agent(Settings{})
		is.NoErr(r.Finish(context.Background(), testKey, claimAs(r, "one").(Granted).Token, NotRun{}))
		is.Equal(r.Claim(context.Background(), testKey, BodySum{2}, "two"), Mismatch{RequestID: "one"})
		_, ok := claimAs(r, "three").(Granted)
		is.True(ok)
	})
}

// Many callers claim at once. One write per claim would exhaust the few
// hundred writes a second that the service allows for the whole deployment.
func TestClaimsAreBatched(t *testing.T) {
	runVirtual(t, func(is *is.I, store *beechstore.Fake, agent func(Settings) *Records) {
		const claims = 2000
		r := agent(Settings{})
		claimAs(r, "warm")
		before := store.Counts().Writes
		var wait sync.WaitGroup
		for i := range claims {
			wait.Go(func() {
				key := Key{Name: fmt.Sprint(i)}
				_, ok := r.Claim(context.Background(), key, testBody, "r").(Granted)
				is.True(ok)
			})
		}
		wait.Wait()
		writes := store.Counts().Writes - before
		is.True(claims/writes >= 50)
	})
}

// Segments are closed as they grow and deleted after the retention. Without
// deletion the service would fill up; deletion too early would let a request
// run twice.
func TestSegmentsAreDroppedAfterRetention(t *testing.T) {
	runVirtual(t, func(is *is.I, store *beechstore.Fake, agent func(Settings) *Records) {
		r := agent(Settings{SegmentAge: time.Hour, Retention: 24 * time.Hour})
		granted := claimAs(r, "one").(Granted)
		is.NoErr(r.Finish(context.Background(), testKey, granted.Token, booked))
		tick := func(n int) {
			for i := range n {
				time.Sleep(time.Hour)
				r.Claim(context.Background(), Key{Name: fmt.Sprintf("%d-%d", n, i)}, testBody, "tick")
			}
		}
		tick(24)
		is.Equal(claimAs(r, "day later"), doneAs("one"))
		is.Equal(claimAs(agent(Settings{}), "day later"), doneAs("one"))
		tick(60)
		_, ok := claimAs(r, "days later").(Granted)
		is.True(ok)
		x := readIndex(t, store)
		is.True(len(x.Segments) > 12 && len(x.Segments) < 30)
		_, ok = claimAs(agent(Settings{}), "fresh agent").(Unknown)
		is.True(ok)
	})
}

func readIndex(t *testing.T, store beechstore.Store) index {
	t.Helper()
	var x index
	v, err := store.Get(context.Background(), indexKey(0), 0)
	if err == nil {
		err = beechstore.DecodeValue(v.Key, v.Data, formatVersion, &x)
	}
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// A segment in the service is damaged, missing, or written by a newer version
// of the program. If it were treated as empty, its requests would be granted
// again.
func TestDamagedSegmentRefusesClaims(t *testing.T) {
	cases := []struct {
		name   string
		change func([]byte) []byte
		want   string
	}{
		{"truncated", func(b []byte) []byte { return b[:len(b)-3] }, "is corrupt"},
		{"altered", func(b []byte) []byte { return bytes.Replace(b, []byte(`"one"`), []byte(`"two"`), 1) }, "checksum"},
		{"newer format", func(b []byte) []byte { return bytes.Replace(b, []byte(`"format":1`), []byte(`"format":2`), 1) }, "has format 2; this version reads formats up to 1"},
		{"missing", func([]byte) []byte { return nil }, "is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runVirtual(t, func(is *is.I, store *beechstore.Fake, agent func(Settings) *Records) {
				claimAs(agent(Settings{}), "one")
				key := segmentKey(0, readIndex(t, store).Segments[0].ID)
				good, err := store.Get(context.Background(), key, 0)
				is.NoErr(err)
				replace(t, store, good, c.change(good.Data))
				reader := agent(Settings{})
				refused, ok := claimAs(reader, "two").(Refused)
				is.True(ok)
				is.True(strings.Contains(refused.Err.Error(), c.want))
				reads := store.Counts().Reads
				for range 1000 {
					claimAs(reader, "three")
				}
				is.True(store.Counts().Reads-reads < 100) // corrupt values are not read again for every claim

				now, err := store.Get(context.Background(), key, 0)
				is.NoErr(err)
				replace(t, store, now, good.Data)
				time.Sleep(time.Second)
				is.Equal(claimAs(reader, "four"), Unknown{RequestID: "one"})
			})
		})
	}
}

func replace(t *testing.T, store beechstore.Store, v beechstore.Value, data []byte) {
	t.Helper()
	var err error
	if data == nil {
		err = store.Delete(context.Background(), v.Key, v.Version, 0)
	} else {
		_, err = store.CompareAndSwap(context.Background(), v.Key, v.Version, data, "", 0)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// A shard has more segments than the call budget of its new owner allows at
// once. It must load them in several attempts; otherwise the shard's claims
// are refused until the retention ends.
func TestLongChainLoadsWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		first := New(store, clock, Settings{Shards: 1, SegmentBytes: 300})
		defer first.Close()
		granted := claimAs(first, "one").(Granted)
		is.NoErr(first.Finish(context.Background(), testKey, granted.Token, booked))
		for i := range 400 {
			first.Claim(context.Background(), Key{Name: fmt.Sprint(i)}, testBody, "r")
		}
		is.True(len(readIndex(t, store).Segments) > 100)
		successor := New(&rateLimitedStore{Fake: store, clock: clock}, clock, Settings{Shards: 1})
		defer successor.Close()
		var answer Answer
		for tries := 0; tries < 100; tries++ {
			answer = claimAs(successor, "two")
			if _, refused := answer.(Refused); !refused {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(answer, doneAs("one"))
	})
}

// One agent owns all shards under a constant load of claims. Its call budget
// is far below what the shards would use, so claims must be batched further
// instead of refused.
func TestClaimsFitTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		r := New(&rateLimitedStore{Fake: beechstore.NewFake(clock), clock: clock}, clock, Settings{Shards: 8})
		defer r.Close()
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Go(func() {
				for n := range 20 {
					key := Key{Name: fmt.Sprintf("%d-%d", i, n)}
					granted, ok := r.Claim(context.Background(), key, testBody, "r").(Granted)
					is.True(ok)
					is.NoErr(r.Finish(context.Background(), key, granted.Token, booked))
				}
			})
		}
		wait.Wait()
	})
}

// rateLimitedStore allows a burst of 50 calls, then 50 calls a second, like
// the client of the service.
type rateLimitedStore struct {
	*beechstore.Fake
	clock clockwork.Clock

	mu   sync.Mutex
	full time.Time // when the whole burst is available again
}

func (b *rateLimitedStore) spend(step string) error {
	const interval, burst = 20 * time.Millisecond, 50
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.full.Before(now) {
		b.full = now
	}
	if wait := b.full.Sub(now) - (burst-1)*interval; wait > 0 {
		return beechstore.OverBudget{Step: step, After: wait}
	}
	b.full = b.full.Add(interval)
	return nil
}

func (b *rateLimitedStore) Get(ctx context.Context, key string, i beechstore.Importance) (beechstore.Value, error) {
	if err := b.spend("get " + key); err != nil {
		return beechstore.Value{}, err
	}
	return b.Fake.Get(ctx, key, i)
}

func (b *rateLimitedStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, i beechstore.Importance) (beechstore.Value, error) {
	if err := b.spend("compare and swap " + key); err != nil {
		return beechstore.Value{}, err
	}
	return b.Fake.CompareAndSwap(ctx, key, version, data, lease, i)
}

// Small answers can together exceed the maximum size of a value. No further
// outcome of the segment could then be recorded.
func TestAnswersStayWithinMaximumSegmentSize(t *testing.T) {
	runVirtual(t, func(is *is.I, _ *beechstore.Fake, agent func(Settings) *Records) {
		r := agent(Settings{SegmentBytes: 200 << 10})
		tokens := map[Key]string{}
		for i := range 700 {
			key := Key{Name: fmt.Sprint(i)}
			tokens[key] = r.Claim(context.Background(), key, testBody, "r").(Granted).Token
		}
		answer := Ran{Status: 200, Body: bytes.Repeat([]byte("x"), 4<<10)}
		var wait sync.WaitGroup
		for key, token := range tokens {
			wait.Go(func() { is.NoErr(r.Finish(context.Background(), key, token, answer)) })
		}
		wait.Wait()
		var mu sync.Mutex
		complete := 0
		for key := range tokens {
			wait.Go(func() {
				done, ok := r.Claim(context.Background(), key, testBody, "again").(Done)
				is.True(ok)
				mu.Lock()
				defer mu.Unlock()
				if done.Complete {
					complete++
				}
			})
		}
		wait.Wait()
		is.True(complete > 100 && complete < 700)
		is.Equal(r.Unrecorded(), 0)
	})
}

func TestLostMemberMovesOnlyItsShards(t *testing.T) {
	is := is.New(t)
	var members []netip.AddrPort
	for i := range 10 {
		members = append(members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	owned := map[netip.AddrPort]int{}
	for s := range 640 {
		before := Owner(s, members)
		owned[before]++
		after := Owner(s, members[:9])
		is.True(after == before || before == members[9])
	}
	for _, m := range members {
		is.True(owned[m] > 30 && owned[m] < 110)
	}
	is.True(!Owner(1, nil).IsValid())
}

func TestClosedRecordsRefuseClaims(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	r := New(beechstore.NewFake(clock), clock, Settings{})
	r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, granted := r.Claim(ctx, testKey, testBody, "one").(Granted)
	is.True(!granted)
	is.True(errors.Is(r.Finish(ctx, testKey, "t", NotRun{}), errClosed))
}
