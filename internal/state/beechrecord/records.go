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

// Records claims requests that may not be repeated and records their outcomes.
// All methods are safe for concurrent use.
type Records struct {
	settings   Settings
	clock      clockwork.Clock
	shards     []*shard
	closeFunc  context.CancelFunc
	closeCtx   context.Context
	goroutines sync.WaitGroup

	mu              sync.Mutex
	running         map[string]*runningRequest // by token; removed when finished, or when old and too many
	unrecorded      map[string]*unrecorded     // by token
	unrecordedAdded chan struct{}              // capacity 1; signals that unrecorded has grown
}

// runningRequest is a request whose token was granted by this process.
type runningRequest struct {
	ended     chan struct{}
	since     time.Time
	abandoned bool // its outcome will never be known
}

const (
	// maxPollInterval bounds the interval at which a repeat that waits for an
	// outcome reads the segment. It is long enough that some hundred
	// concurrent repeats stay within the call budget.
	maxPollInterval = 500 * time.Millisecond
	// remoteClaimWait is how long a repeat waits for the outcome of a claim
	// that another process granted. This process cannot tell whether that
	// request is still running.
	remoteClaimWait  = 2 * time.Second
	minPollInterval  = 100 * time.Millisecond
	maxRunning       = 1 << 14
	runningRetention = 10 * time.Minute
	// maxTextBytes limits the stored request ID and content type, which come
	// from callers and backend servers.
	maxTextBytes = 256
)

var _ Claimer = (*Records)(nil)

// New starts one goroutine per shard and one that retries unrecorded outcomes.
// Close stops them.
func New(store beechstore.Store, clock clockwork.Clock, settings Settings) *Records {
	settings = settings.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	r := &Records{
		settings:        settings,
		clock:           clock,
		closeFunc:       stop,
		closeCtx:        ctx,
		running:         map[string]*runningRequest{},
		unrecorded:      map[string]*unrecorded{},
		unrecordedAdded: make(chan struct{}, 1),
	}
	for i := range settings.Shards {
		s := &shard{
			chain:    chain{store: store, clock: clock, settings: settings, shard: i},
			clock:    clock,
			settings: settings,
			queue:    make(chan *operation, settings.MaxWaiting),
		}
		r.shards = append(r.shards, s)
		r.goroutines.Go(func() { s.run(ctx) })
	}
	r.goroutines.Go(func() { r.retryUnrecorded(ctx) })
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

// Shards returns the number of shards, for use with Owner.
func (r *Records) Shards() int { return r.settings.Shards }

// Claim asks for permission to run a request. A repeat of a request that this
// process granted waits for its outcome until ctx ends; a repeat of one that
// another process granted waits for a limited time (remoteClaimWait). All
// other claims are answered within Settings.CallTimeout. If ctx ends during a
// write, the answer is Unknown, since the claim may have been made.
func (r *Records) Claim(ctx context.Context, key Key, body BodySum, requestID string) Answer {
	began, pause := r.clock.Now(), minPollInterval
	var earlier Answer // to an earlier request with the same key
	for {
		got := r.claim(ctx, key, body, requestID)
		if _, refused := got.answer.(Refused); refused && earlier != nil {
			return earlier // the earlier request may have run
		}
		unknown, ok := got.answer.(Unknown)
		if !ok {
			return got.answer
		}
		if done, ok := r.answerFromUnrecorded(got.token, unknown.RequestID); ok {
			return done
		}
		finished, abandoned := r.runningLocally(got.token)
		writeUnknown := got.token == "" // this claim's own write has an unknown outcome
		if writeUnknown || abandoned || finished == nil && r.clock.Since(began) >= remoteClaimWait {
			return unknown
		}
		earlier = unknown
		select {
		case <-finished:
		case <-r.clock.After(pause):
			// Another process may have recorded the outcome, as the agent next
			// to the server does if the entry host was killed. It does not
			// notify this process, so the segment is read again.
			pause = min(2*pause, maxPollInterval)
		case <-ctx.Done():
			return unknown
		}
	}
}

func (r *Records) claim(ctx context.Context, key Key, body BodySum, requestID string) result {
	token := newToken()
	o := &operation{
		ctx: ctx, key: key.id().String(), token: token, claim: &claim{body: body.encode(), requestID: truncate(requestID)},
		onGranted: r.addRunning,
	}
	got := r.submit(ctx, key, o)
	if _, unknown := got.answer.(Unknown); unknown && got.token == "" {
		// The claim may have been written, but its token was never returned to
		// any caller, so the request provably did not run.
		r.addUnrecorded(key, token, &outcome{NotRun: true})
	}
	return got
}

// Finish records the outcome of a granted request. An error means that it is
// not recorded yet. This process then keeps trying; until it succeeds, repeats
// at this process get the outcome and repeats at other processes get Unknown.
func (r *Records) Finish(ctx context.Context, key Key, token string, o Outcome) error {
	recorded := r.encodeOutcome(o)
	got := r.submit(ctx, key, &operation{ctx: ctx, key: key.id().String(), token: token, outcome: recorded})
	if got.err != nil && !errors.Is(got.err, errTokenUnknown) {
		r.addUnrecorded(key, token, recorded)
	}
	r.removeRunning(token)
	if got.err != nil {
		return fmt.Errorf("record the outcome of %s: %w", key, got.err)
	}
	return nil
}

// Withdraw records that a request did not run because the answer to its claim
// was lost: the caller that claimed under this request ID has no token and
// will not run it. An error means that no such claim is recorded; its write
// may still be in progress.
func (r *Records) Withdraw(ctx context.Context, key Key, requestID string) error {
	o := &operation{ctx: ctx, key: key.id().String(), withdrawID: truncate(requestID), outcome: &outcome{NotRun: true}}
	if got := r.submit(ctx, key, o); got.err != nil {
		return fmt.Errorf("withdraw the claim of %s: %w", key, got.err)
	}
	r.removeRunning(o.token)
	return nil
}

// Abandon reports that the outcome of a granted request will never be known,
// so that repeats do not wait for it.
func (r *Records) Abandon(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.running[token]; ok && !x.abandoned {
		x.abandoned = true
		close(x.ended)
	}
}

// removeRunning ends the waiting of repeats, which then read the recorded
// outcome.
func (r *Records) removeRunning(token string) {
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

// Close refuses the queued operations and stops the goroutines.
func (r *Records) Close() {
	r.closeFunc()
	r.goroutines.Wait()
}

func (r *Records) submit(ctx context.Context, key Key, o *operation) result {
	o.result = make(chan result, 1)
	r.enqueue(key, o)
	select {
	case got := <-o.result:
		return got
	case <-ctx.Done():
		return result{answer: Unknown{Err: ctx.Err()}, err: ctx.Err()}
	case <-r.closeCtx.Done():
		return result{answer: Unknown{Err: errClosed}, err: errClosed}
	}
}

func (r *Records) enqueue(key Key, o *operation) {
	select {
	case r.shards[key.Shard(r.settings.Shards)].queue <- o:
	default:
		o.result <- result{answer: Refused{After: r.settings.CallTimeout, Err: errQueueFull}, err: errQueueFull}
	}
}

// addRunning registers a run that repeats may wait for. A run that is never
// finished, because its agent or entry is gone, is removed after
// runningRetention once there are maxRunning; repeats then get Unknown at
// once.
func (r *Records) addRunning(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) >= maxRunning {
		for t, x := range r.running {
			if r.clock.Since(x.since) > runningRetention {
				delete(r.running, t)
			}
		}
	}
	r.running[token] = &runningRequest{ended: make(chan struct{}), since: r.clock.Now()}
}

// runningLocally returns a channel that is closed when a request that this
// process granted ends. The channel is nil for any other request.
func (r *Records) runningLocally(token string) (ended <-chan struct{}, abandoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.running[token]; ok {
		return x.ended, x.abandoned
	}
	return nil, false
}

func (r *Records) encodeOutcome(o Outcome) *outcome {
	ran, ok := o.(Ran)
	if !ok {
		return &outcome{NotRun: true}
	}
	recorded := &outcome{Status: ran.Status, Type: truncate(ran.ContentType)}
	if len(ran.Body) <= r.settings.AnswerBytes {
		recorded.Body, recorded.Complete = ran.Body, true
	}
	return recorded
}

func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }
