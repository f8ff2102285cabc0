package beechrecord

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// Records claims and finishes requests that may not be repeated. All methods
// may be called at once.
type Records struct {
	settings Settings
	clock    clockwork.Clock
	shards   []*shard
	stop     context.CancelFunc
	stopped  context.Context
	done     sync.WaitGroup

	mu         sync.Mutex
	running    map[string]*running    // by token; finished here or given up
	unrecorded map[string]*unrecorded // by token
	more       chan struct{}          // holds one: unrecorded has grown
}

// running is a request whose token was granted by this process.
type running struct {
	ended     chan struct{}
	since     time.Time
	abandoned bool // nobody will know its outcome
}

const (
	// lookAgain is how often a repeat that waits for an outcome reads the
	// segment: rarely enough that some hundred repeats at once stay within the
	// budget.
	lookAgain = 500 * time.Millisecond
	// elsewhere is how long a repeat waits for the outcome of a claim that
	// another process granted. Whether its request still runs is not known here.
	elsewhere  = 2 * time.Second
	lookFirst  = 100 * time.Millisecond
	maxRunning = 1 << 14
	runningFor = 10 * time.Minute
	// maxText bounds what is kept of a request id and a content type, which
	// come from callers and backend servers.
	maxText = 256
)

var _ Claimer = (*Records)(nil)

// New starts one goroutine a shard and one more; Close ends them.
func New(store beechstore.Store, clock clockwork.Clock, settings Settings) *Records {
	settings = settings.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	r := &Records{
		settings:   settings,
		clock:      clock,
		stop:       stop,
		stopped:    ctx,
		running:    map[string]*running{},
		unrecorded: map[string]*unrecorded{},
		more:       make(chan struct{}, 1),
	}
	for i := range settings.Shards {
		s := &shard{
			chain:    chain{store: store, clock: clock, settings: settings, shard: i},
			clock:    clock,
			settings: settings,
			arrivals: make(chan *operation, settings.MaxWaiting),
		}
		r.shards = append(r.shards, s)
		r.done.Go(func() { s.run(ctx) })
	}
	r.done.Go(func() { r.recordLate(ctx) })
	return r
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.Shards, defaultShards)
	setDefault(&s.Window, defaultWindow)
	setDefault(&s.Pace, time.Duration(s.Shards)*defaultPacePerShard)
	setDefault(&s.MaxBatch, defaultMaxBatch)
	setDefault(&s.MaxWaiting, defaultMaxWaiting)
	setDefault(&s.CallTimeout, defaultCallTimeout)
	setDefault(&s.SegmentBytes, defaultSegmentBytes)
	setDefault(&s.SegmentAge, defaultSegmentAge)
	setDefault(&s.Retention, defaultRetention)
	setDefault(&s.AnswerBytes, defaultAnswerBytes)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Shards gives the number of shards, for Owner.
func (r *Records) Shards() int { return r.settings.Shards }

// Claim asks to run a request. A repeat of a request that this process granted
// waits for its outcome until ctx ends, one that another granted for a while;
// everything else is answered within Settings.CallTimeout. If ctx ends while a
// write is under way the answer is Unknown, since the claim may be made.
func (r *Records) Claim(ctx context.Context, key Key, body BodySum, requestID string) Answer {
	began, pause := r.clock.Now(), lookFirst
	var first Answer // of another request under the key
	for {
		got := r.claim(ctx, key, body, requestID)
		if _, refused := got.answer.(Refused); refused && first != nil {
			return first // that one may have run
		}
		unknown, ok := got.answer.(Unknown)
		if !ok {
			return got.answer
		}
		if done, ok := r.notYetRecorded(got.token, unknown.RequestID); ok {
			return done
		}
		finished, abandoned := r.runningHere(got.token)
		lost := got.token == "" // this claim's own write
		if lost || abandoned || finished == nil && r.clock.Since(began) >= elsewhere {
			return unknown
		}
		first = unknown
		select {
		case <-finished:
		case <-r.clock.After(pause):
			// Another process may have recorded the outcome, as the agent
			// beside the server does for an entry host that was killed. It
			// does not tell this one, so the segment is read again.
			pause = min(2*pause, lookAgain)
		case <-ctx.Done():
			return unknown
		}
	}
}

func (r *Records) claim(ctx context.Context, key Key, body BodySum, requestID string) result {
	token := newToken()
	o := &operation{
		ctx: ctx, key: key.id().String(), token: token, claim: &claim{body: body.text(), requestID: bounded(requestID)},
		granted: r.begin,
	}
	got := r.submit(ctx, key, o)
	if _, unknown := got.answer.(Unknown); unknown && got.token == "" {
		// The claim may be made, but this process never gave its token to
		// anyone: the request provably did not run.
		r.recordLater(key, token, &outcome{NotRun: true})
	}
	return got
}

// Finish records the outcome of a granted request. An error says that it is
// not recorded yet: repeats at this process get it, repeats elsewhere get
// Unknown until this process has recorded it, which it goes on trying.
func (r *Records) Finish(ctx context.Context, key Key, token string, o Outcome) error {
	recorded := r.recorded(o)
	got := r.submit(ctx, key, &operation{ctx: ctx, key: key.id().String(), token: token, outcome: recorded})
	if got.err != nil && !errors.Is(got.err, errTokenUnknown) {
		r.recordLater(key, token, recorded)
	}
	r.forget(token)
	if got.err != nil {
		return fmt.Errorf("record the outcome of %s: %w", key, got.err)
	}
	return nil
}

// Withdraw records that a request did not run whose claim's answer was lost on
// its way: whoever claimed under this request id has no token and will use none.
// An error says that no such claim is recorded; it may be under way still.
func (r *Records) Withdraw(ctx context.Context, key Key, requestID string) error {
	o := &operation{ctx: ctx, key: key.id().String(), withdraws: bounded(requestID), outcome: &outcome{NotRun: true}}
	if got := r.submit(ctx, key, o); got.err != nil {
		return fmt.Errorf("withdraw the claim of %s: %w", key, got.err)
	}
	r.forget(o.token)
	return nil
}

// Abandon says that the outcome of a granted request will not be known, so
// that repeats need not wait for it.
func (r *Records) Abandon(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.running[token]; ok && !x.abandoned {
		x.abandoned = true
		close(x.ended)
	}
}

// forget lets repeats look at what is recorded now.
func (r *Records) forget(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.running[token]
	if !ok {
		return
	}
	if !x.abandoned {
		close(x.ended)
	}
	delete(r.running, token)
}

// Close refuses what waits and ends the goroutines.
func (r *Records) Close() {
	r.stop()
	r.done.Wait()
}

func (r *Records) submit(ctx context.Context, key Key, o *operation) result {
	o.result = make(chan result, 1)
	r.enqueue(key, o)
	select {
	case got := <-o.result:
		return got
	case <-ctx.Done():
		return result{answer: Unknown{Err: ctx.Err()}, err: ctx.Err()}
	case <-r.stopped.Done():
		return result{answer: Unknown{Err: errClosed}, err: errClosed}
	}
}

func (r *Records) enqueue(key Key, o *operation) {
	select {
	case r.shards[key.Shard(r.settings.Shards)].arrivals <- o:
	default:
		o.result <- result{answer: Refused{After: r.settings.CallTimeout, Err: errBusy}, err: errBusy}
	}
}

// begin notes a run that repeats may wait for. What was never finished, since
// whoever ran it is gone, is forgotten when there are many; repeats are then
// told Unknown at once.
func (r *Records) begin(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) >= maxRunning {
		for t, x := range r.running {
			if r.clock.Since(x.since) > runningFor {
				delete(r.running, t)
			}
		}
	}
	r.running[token] = &running{ended: make(chan struct{}), since: r.clock.Now()}
}

// runningHere gives what closes when a request that this process granted ends;
// nil is one that it did not grant.
func (r *Records) runningHere(token string) (ended <-chan struct{}, abandoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.running[token]; ok {
		return x.ended, x.abandoned
	}
	return nil, false
}

func (r *Records) recorded(o Outcome) *outcome {
	ran, ok := o.(Ran)
	if !ok {
		return &outcome{NotRun: true}
	}
	recorded := &outcome{Status: ran.Status, Type: bounded(ran.ContentType)}
	if len(ran.Body) <= r.settings.AnswerBytes {
		recorded.Body, recorded.Complete = ran.Body, true
	}
	return recorded
}

func bounded(text string) string { return text[:min(len(text), maxText)] }
