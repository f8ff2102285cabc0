package beechkeeper

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
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
		// Held lists what is in the engine's cache now. It holds the engine up for
		// a moment.
		Held(ctx context.Context) (Held, error)
		// Shrunk waits for parts that lost tokens after a number.
		Shrunk(ctx context.Context, since uint64, wait time.Duration) (Shrunk, error)
	}

	// Part is a part in an engine's cache, by its key.
	Part struct {
		Key    uint64
		Tokens int // in the cache
	}

	// Held is what an engine's cache holds.
	Held struct {
		Epoch uint64 // another one: the engine has started anew, with nothing
		Next  uint64 // for the first call of Shrunk
		Parts []Part
	}

	// Shrunk is what left an engine's cache after a number.
	Shrunk struct {
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
		turn      *beechrollout.Turn
		followers map[netip.AddrPort]*follower
		last      Report
		reading   beechrollout.Reading
		held      *lru.Cache[uint64, struct{}] // announced or listed, and not seen to be dropped
		phase     beechrollout.Phase
	}

	// follower is a gate as this keeper knows it.
	follower struct {
		zone  string
		heard time.Time
		told  time.Time
		named time.Time // when it was told last of the other gates of its zone
		is    state     // that it was told last
		parts news
		gone  news
		kept  news
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
	tellNear        = 120 * time.Millisecond  // between words of an engine that works, to gates of its zone
	tellFar         = 200 * time.Millisecond  // and to others
	longPrompt      = 1500                    // tokens; reading them takes longer than a word to all gates
	chainTold       = 2                       // times that gates are told of a chain: a datagram may be lost
	chainsMost      = 64                      // in one datagram
	tellMost        = 1200 * time.Millisecond // a gate believes a keeper's word for 1.5 s
	followersFew    = 16                      // gates that are told as often as each alone
	tellIdle        = 600 * time.Millisecond
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
		turn:     beechrollout.NewTurn(beechrollout.Settings{}), followers: make(map[netip.AddrPort]*follower),
		wake: make(chan struct{}, 1), held: held,
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
	}
	f.heard = now
	k.reading.Learn(float64(follow.Rate), now)
	for _, t := range follow.Targets {
		k.turn.Told(beechrollout.Target{
			Model: t.Model, Version: t.Version, Fence: t.Fence, Granted: t.Granted, Alone: now.Add(time.Duration(t.Alone) * time.Millisecond),
		}, now)
	}
	k.mu.Unlock()
	k.suspects.Merge(beechshare.SuspectRecords(follow.Suspects))
	if !known {
		k.needs.Log.Info("gate follows", zap.String("gate", follow.Gate), zap.Stringer("peer", from))
		k.tell(true)
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
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
	anew := report.Known && report.StartedAnew(k.last.Report)
	next := k.turn.Next(k.needs.Clock.Now(), report.Report)
	if report.Known {
		k.last = report
	}
	if report.Known && report.Waiting == 0 {
		k.reading.Clear(asked.Add(-onTheWay))
	}
	reading := k.reading.Left(k.needs.Clock.Now()) > 0
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
	k.turn.Answered(answer)
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

// tell sends the engine's state to the gates: at once if its phase or weights
// changed or the news is urgent, else at intervals.
func (k *Keeper) tell(urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.needs.Clock.Now()
	is := state{phase: k.phase}
	for _, version := range k.last.Versions {
		is.version += version
	}
	maps.DeleteFunc(k.followers, func(_ netip.AddrPort, f *follower) bool { return at.Sub(f.heard) > followerLasts })
	for gate, f := range k.followers {
		if is != f.is || at.Sub(f.told) >= k.interval(f, urgent) {
			f.told, f.is = at, is
			k.send(gate, f, at)
		}
		if k.way(f) == beechbeat.Near && at.Sub(f.named) >= namesInterval {
			f.named = at
			k.name(gate)
		}
	}
}

// way tells whether words to a gate cross the border of this zone.
func (k *Keeper) way(f *follower) beechbeat.Way { return f.zone != k.settings.Zone }

// name tells a gate of the gates of this zone, itself among them: they share their
// reads of the store. The caller holds the lock.
func (k *Keeper) name(gate netip.AddrPort) {
	peers := &beechwire.Peers{Gates: []string{}}
	for peer, f := range k.followers {
		if k.way(f) == beechbeat.Near {
			peers.Gates = append(peers.Gates, peer.String())
		}
	}
	if err := k.socket.Send(gate, beechbeat.Near, beechbeat.Peers{Peers: peers}); err != nil {
		k.needs.Log.Debug("gate not told of others", zap.Stringer("peer", gate), zap.Error(err))
	}
}

// interval is the time between words to a gate. It grows with their number, or
// words would grow with its square. Of a long prompt the gates of all zones hear
// at once: with 200 ms until those of other zones heard, callers there waited
// behind it without their gates' knowing. Measured: worth of 0.536 and 0.556
// before and after on nine engines, 0.506 and 0.572 on 44. It takes
// 250 bytes a prompt and gate, 3% of the 10 Mbit/s of the smallest entry hosts
// with 150 long prompts a second.
func (k *Keeper) interval(f *follower, urgent bool) time.Duration {
	near := k.way(f) == beechbeat.Near
	many := time.Duration(max(len(k.followers)/followersFew, 1))
	switch {
	case urgent:
		return 0
	case near && k.last.Running+k.last.Waiting > 0:
		return tellNear
	case k.last.Running+k.last.Waiting > 0:
		return min(tellFar*many, tellMost)
	}
	return min(tellIdle*many, tellMost)
}

func (k *Keeper) send(gate netip.AddrPort, f *follower, at time.Time) {
	message := &beechwire.Tell{
		Port: k.settings.Engine.Port(), Phase: int(k.phase), Run: k.last.Running, Wait: k.last.Waiting,
		Used: k.last.CacheUsed, Room: k.last.CacheTotal, Read: k.reading.Left(at), Gates: len(k.followers),
		Born: k.last.Born, Tries: k.turn.Tries(), Old: k.turn.Old(at).Milliseconds(), Took: k.turn.Took().Milliseconds(), Parts: f.parts.take(), Gone: f.gone.take(), Kept: f.kept.take(), Have: []beechwire.Weights{}, Suspects: beechshare.WireSuspects(beechshare.Worst(k.suspects.News())),
	}
	for model, version := range k.last.Versions {
		message.Have = append(message.Have, beechwire.Weights{Model: model, Version: version})
	}
	if err := k.socket.Send(gate, k.way(f), beechbeat.Tell{Tell: message}); err != nil {
		k.needs.Log.Debug("gate not told", zap.Stringer("peer", gate), zap.Error(err))
	}
}
