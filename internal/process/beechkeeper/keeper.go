package beechkeeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// Engine is the backend server beside the keeper.
	Engine interface {
		Report(ctx context.Context) (Report, error)
		// Order sends an order. An error says why it was not taken.
		Order(ctx context.Context, holder string, o beechrollout.Order) (beechrollout.Answer, error)
		// CacheSnapshot lists what is in the engine's cache now. It holds the engine up for
		// a moment.
		CacheSnapshot(ctx context.Context) (CacheSnapshot, error)
		// WaitForEvictions waits for parts that lost tokens after a number.
		WaitForEvictions(ctx context.Context, since uint64, wait time.Duration) (CacheEvictions, error)
	}

	// Part is a part in an engine's cache, by its key.
	Part struct {
		Key    uint64
		Tokens int // in the cache
	}

	// CacheSnapshot is what an engine's cache holds.
	CacheSnapshot struct {
		Epoch uint64 // another one: the engine has started anew, with nothing
		Next  uint64 // for the first call of Shrunk
		Parts []Part
	}

	// CacheEvictions is what left an engine's cache after a number.
	CacheEvictions struct {
		Epoch uint64
		Next  uint64
		Lost  bool   // some are not told any more
		Parts []Part // with the tokens that are left
	}

	// Report is what an engine says of itself.
	Report struct {
		beechrollout.Report
		CacheUsed  int
		CacheTotal int
		Limit      beechthrottle.Said // nil is not known
	}

	// Dependencies of a keeper.
	Dependencies struct {
		Clock  clockwork.Clock
		Log    *zap.Logger
		Engine Engine
	}

	// Keeper is the process.
	Keeper struct {
		settings   *beechsettings.Keeper
		needs      Dependencies
		socket     *beechbeat.Socket
		supervisor *suture.Supervisor
		suspects   *beechsuspect.Register
		metrics    *metrics
		wake       chan struct{}

		mu        sync.Mutex
		turn      *beechrollout.Updater
		followers map[netip.AddrPort]*follower
		zones     map[string]*audience // that are told through relays
		number    uint32               // of the last word
		last      Report
		reading   beechrollout.PrefillBacklog
		held      *lru.Cache[uint64, struct{}] // announced or listed, and not seen to be dropped
		phase     beechrollout.Phase
	}

	// follower is a gate as this keeper knows it.
	follower struct {
		audience
		zone  string
		heard time.Time
		named time.Time // when it was told last of the other gates of its zone
	}

	// state is what is told at once when it changes.
	state struct {
		phase   beechrollout.Phase
		version uint64
	}
)

const (
	reportPatience  = 400 * time.Millisecond
	orderPatience   = 800 * time.Millisecond
	followerLasts   = 4500 * time.Millisecond // three words of a gate of another zone
	trafficInterval = 15 * time.Second        // as in gates: four lines a minute and host
	namesInterval   = time.Second             // between words to gates of this zone of one another
	readingPoll     = 60 * time.Millisecond   // between reports while long prompts are read
	onTheWay        = 15 * time.Millisecond   // an announced prompt may not have come in yet
	longPrompt      = 1500                    // tokens; reading them takes longer than a word to all gates
)

// New returns a keeper that is bound to its beat address.
func New(s *beechsettings.Keeper, needs Dependencies) (*Keeper, error) {
	socket, err := beechbeat.Open(s.Beats)
	if err != nil {
		return nil, err
	}
	held, err := lru.New[uint64, struct{}](heldMost)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	k := &Keeper{
		settings: s, needs: needs, socket: socket,
		suspects: beechsuspect.New(beechsuspect.Settings{}, needs.Clock),
		turn:     beechrollout.NewUpdater(beechrollout.Settings{}), followers: make(map[netip.AddrPort]*follower), zones: make(map[string]*audience),
		number: uint32(needs.Clock.Now().Unix()) << numberBits,
		wake:   make(chan struct{}, 1), held: held,
	}
	k.metrics = newMetrics(k)
	k.supervisor = suture.New("keeper", suture.Spec{EventHook: beechlog.SupervisorHook(needs.Log)})
	k.supervisor.Add(beechtask.Task{Name: "hear gates", Run: func(ctx context.Context) error { return socket.Receive(ctx, k.hear) }})
	k.supervisor.Add(beechtask.Task{Name: "keep engine", Run: k.keep})
	k.supervisor.Add(beechtask.Task{Name: "watch cache", Run: k.watchCache})
	k.supervisor.Add(beechtask.Task{Name: "tell traffic", Run: func(ctx context.Context) error {
		return beechtask.Every(ctx, needs.Clock, trafficInterval, func() {
			needs.Log.Info("traffic", beechlog.Counts("datagrams", socket.Sent()))
		})
	}})
	return k, nil
}

// Run keeps the engine until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.needs.Log.Info("keeper started", zap.Stringer("engine", k.settings.Engine))
	err := k.supervisor.Serve(ctx)
	k.needs.Log.Info("keeper stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// hear takes in a gate's word.
func (k *Keeper) hear(from netip.AddrPort, m beechbeat.Message) {
	switch v := m.(type) {
	case beechbeat.Follow:
		k.hearFollow(from, v)
	case beechbeat.Announce:
		k.hearAnnounce(v)
	}
}

// hearAnnounce takes in a prompt. Of a long one all gates are told at once:
// their next requests would otherwise wait behind it without their knowing.
func (k *Keeper) hearAnnounce(a beechbeat.Announce) {
	now := k.needs.Clock.Now()
	k.mu.Lock()
	k.reading.Add(a.Read, now)
	for _, part := range a.Parts {
		k.hold(part, a.Kept)
	}
	k.mu.Unlock()
	if a.Read >= longPrompt {
		k.tell(true)
	}
}

func (k *Keeper) hearFollow(from netip.AddrPort, follow beechbeat.Follow) {
	now := k.needs.Clock.Now()
	k.mu.Lock()
	f, known := k.followers[from]
	if !known {
		f = &follower{zone: follow.Zone}
		k.followers[from] = f
		k.introduce(f)
		k.regroup()
	}
	f.heard = now
	k.reading.ObserveRate(float64(follow.Rate), now)
	for _, t := range follow.Targets {
		k.turn.SetTarget(beechrollout.Target{
			Model: t.Model, Version: t.Version, Fence: t.Fence, Granted: t.Granted, FallbackAt: now.Add(time.Duration(t.Alone) * time.Millisecond),
		}, now)
	}
	if !known || follow.Ask {
		f.named = time.Time{} // it may have just started, and know no other gate
		k.tellGate(from, f, now)
	}
	k.mu.Unlock()
	k.suspects.Merge(beechshare.SuspectRecords(follow.Suspects))
	if !known {
		level := zap.DebugLevel
		if k.way(f) == beechbeat.Near {
			level = zap.InfoLevel // a line for each keeper and gate of a fleet would grow with its square
		}
		k.needs.Log.Log(level, "gate follows", zap.String("gate", follow.Gate), zap.Stringer("peer", from))
	}
	beechtask.Wake(k.wake)
}

// keep looks at the engine, gives it what is due, and tells the gates.
func (k *Keeper) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		after := k.step(ctx)
		select {
		case <-k.needs.Clock.After(after):
		case <-k.wake:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (k *Keeper) step(ctx context.Context) time.Duration {
	limited, cancel := clockwork.WithTimeout(ctx, k.needs.Clock, reportPatience)
	asked := k.needs.Clock.Now()
	report, err := k.needs.Engine.Report(limited)
	cancel()
	report.Known = err == nil
	if !report.Known {
		k.metrics.silent.Add(1)
	}
	k.mu.Lock()
	if report.Known && report.Limit != k.last.Limit && (names(report.Limit) || names(k.last.Limit)) {
		k.needs.Log.Info("engine's limit in its report", zap.Any("said", report.Limit))
	}
	anew := report.Known && report.Restarted(k.last.Report)
	next := k.turn.Next(k.needs.Clock.Now(), report.Report)
	if report.Known {
		k.last = report
	}
	if report.Known && report.Waiting == 0 {
		k.reading.Clear(asked.Add(-onTheWay))
	}
	reading := k.reading.Remaining(k.needs.Clock.Now()) > 0
	k.mu.Unlock()
	if anew {
		k.startedAnew(report)
	}
	switch v := next.(type) {
	case beechrollout.Wait:
		k.setPhase(v.Phase, err)
		k.tell(false)
		if reading {
			return min(v.After, readingPoll)
		}
		return v.After
	case beechrollout.Order:
		k.setPhase(beechrollout.Loading, nil)
		k.tell(true)
		k.order(ctx, v)
	}
	return 0
}

// names tells whether an answer named a limit, be it one that cannot be used.
func names(said beechthrottle.Said) bool {
	switch said.(type) {
	case beechthrottle.Names, beechthrottle.Faulty:
		return true
	}
	return false
}

// startedAnew forgets what is believed of an engine that has begun another
// lifetime under its ID: it holds nothing. Gates that go on believing would have
// others fetch from it what it lost.
func (k *Keeper) startedAnew(r Report) {
	k.metrics.anew.Add(1)
	k.needs.Log.Info("engine started anew", zap.Uint64("born", r.Born), zap.Uint64("sequence", r.Sequence))
	k.mu.Lock()
	k.reading.Clear(k.needs.Clock.Now())
	k.mu.Unlock()
	k.dropAll()
	k.tell(true)
}

func (k *Keeper) order(ctx context.Context, o beechrollout.Order) {
	limited, cancel := clockwork.WithTimeout(ctx, k.needs.Clock, orderPatience)
	defer cancel()
	answer, err := k.needs.Engine.Order(limited, k.settings.Name, o)
	k.needs.Log.Info("order sent", zap.String("model", o.Target.Model), zap.Uint64("version", o.Target.Version),
		zap.Uint64("fence", o.Target.Fence), zap.Uint64("sequence", o.Sequence), zap.Int("outcome", int(answer)), zap.Error(err))
	k.metrics.orders.Add(answer.String(), 1)
	k.mu.Lock()
	k.turn.RecordAnswer(answer)
	k.mu.Unlock()
}

func (k *Keeper) setPhase(p beechrollout.Phase, err error) {
	k.mu.Lock()
	old := k.phase
	k.phase = p
	last := k.last
	k.mu.Unlock()
	if old != p {
		k.metrics.entered(p, k.needs.Clock.Now())
		k.needs.Log.Info("engine's phase", zap.Int("phase", int(p)), zap.Int("was", int(old)), zap.Any("weights", last.Versions),
			zap.Int("running", last.Running), zap.Int("waiting", last.Waiting), zap.Error(err))
	}
}
