package beechintake

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Settings configure an intake. Zero fields have defaults.
	Settings struct {
		Capacity int           // bytes that all bodies may reserve together
		BodyTime time.Duration // in which a body must have been received
	}

	// Intake grants reservations to the bodies of a process. It is safe for concurrent use.
	Intake struct {
		clock clockwork.Clock

		mu         sync.Mutex
		settings   Settings
		held       int // reserved by all bodies
		heldLarge  int // by those of more than SmallBytes
		leaving    int // of held, by bodies that have given way and are not closed yet
		peak       int // of held
		bodies     map[*Body]struct{}
		workspaces map[string]*workspace
		refusedAt  time.Time // when the last body was refused for lack of room; zero: never
		refused    map[Cause]int64
	}

	// Body is the reservation of one body. It is not safe for concurrent use, except that the intake
	// may make it give way at any time.
	Body struct {
		intake    *Intake
		workspace *workspace
		giveWay   func()

		// guarded by the intake's lock
		reserved int
		whole    bool
		gaveWay  bool
		closed   bool
		opened   time.Time
		area     float64   // byte-seconds reserved until counted
		counted  time.Time // when area was computed
		window   time.Time // when recent began
		recent   int       // bytes received in the current window
		previous int       // in the one before
	}

	// workspace is what the bodies of one workspace hold together.
	workspace struct {
		name      string
		held      int
		bodies    int
		refusedAt time.Time // for lack of room; zero: never
	}

	// Refused says why a reservation was not granted, and when the client may come again.
	Refused struct {
		Cause Cause
		After time.Duration
	}

	// Cause is why a reservation was refused.
	Cause string

	// State describes an intake. Sizes are in bytes.
	State struct {
		Capacity int             `json:"capacity"`
		Held     int             `json:"held"`
		Peak     int             `json:"peak"`
		Bodies   int             `json:"bodies"`
		Refused  map[Cause]int64 `json:"refused"`
	}
)

// The causes.
const (
	NoRoom  Cause = "no room"
	Share   Cause = "beyond share" // of its workspace, while others are refused
	GaveWay Cause = "gave way"
)

const (
	// SmallBytes is the size up to which a body may use all of the capacity.
	SmallBytes = 128 << 10

	defaultCapacity = 256 << 20
	defaultBodyTime = 10 * time.Second

	smallShare = 4 // of the capacity, one part is left to small bodies
	openShare  = 2 // of the rest, one part is given out without regard to shares
	minShares  = 16

	rateWindow = 500 * time.Millisecond // in which a sender's rate is measured
	graceTime  = rateWindow             // in which a new body does not give way
	wantTime   = 10 * time.Second       // for which a refused workspace counts as wanting room

	minReturn    = 500 * time.Millisecond // after which a refused client may come again
	returnSpread = time.Second            // added at random, so that a crowd does not return at once
)

// New returns an intake without bodies.
func New(s Settings, clock clockwork.Clock) *Intake {
	s.Capacity = cmp.Or(s.Capacity, defaultCapacity)
	s.BodyTime = cmp.Or(s.BodyTime, defaultBodyTime)
	return &Intake{
		settings: s, clock: clock, bodies: make(map[*Body]struct{}), workspaces: make(map[string]*workspace), refused: make(map[Cause]int64),
	}
}

// RoomFor raises the capacity if one body of this size would not fit, and reports whether it did.
func (in *Intake) RoomFor(size int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if size <= in.largeCapacity() {
		return false
	}
	in.settings.Capacity = (size*smallShare + smallShare - 2) / (smallShare - 1)
	return true
}

// CanHold reports whether one body of this size fits.
func (in *Intake) CanHold(size int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return size <= in.largeCapacity()
}

// Open reserves room for a body of a workspace. The function giveWay is called when the body must give
// way: it should have the body's reader end and close the body, without a call of the intake itself.
func (in *Intake) Open(name string, size int, giveWay func()) (*Body, *Refused) {
	in.mu.Lock()
	defer in.mu.Unlock()
	w := in.workspaces[name]
	if w == nil {
		w = &workspace{name: name}
		in.workspaces[name] = w
	}
	now := in.clock.Now()
	b := &Body{intake: in, workspace: w, giveWay: giveWay, opened: now, counted: now, window: now}
	w.bodies++
	if refused := in.reserve(b, size); refused != nil {
		w.bodies--
		in.forget(w, now)
		return nil, refused
	}
	in.bodies[b] = struct{}{}
	return b, nil
}

// Grow raises the body's reservation to a size. After a refusal it is as before.
func (b *Body) Grow(size int) *Refused {
	in := b.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if b.gaveWay {
		return in.refuse(GaveWay)
	}
	if size <= b.reserved {
		return nil
	}
	return in.reserve(b, size)
}

// Received counts bytes of the body that have arrived.
func (b *Body) Received(n int) {
	in := b.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	b.roll(in.clock.Now())
	b.recent += n
}

// Complete tells that the whole body has arrived. From now on it does not give way.
func (b *Body) Complete() *Refused {
	in := b.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if b.gaveWay {
		return in.refuse(GaveWay)
	}
	b.whole = true
	return nil
}

// Close gives the reservation back. It may be called more than once.
func (b *Body) Close() {
	if b == nil {
		return
	}
	in := b.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	delete(in.bodies, b)
	if b.gaveWay {
		in.leaving -= b.reserved
	}
	in.set(b, 0)
	b.workspace.bodies--
	in.forget(b.workspace, in.clock.Now())
}

// State returns the current state.
func (in *Intake) State() State {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := State{Capacity: in.settings.Capacity, Held: in.held, Peak: in.peak, Bodies: len(in.bodies), Refused: make(map[Cause]int64)}
	for cause, n := range in.refused {
		s.Refused[cause] = n
	}
	return s
}

// reserve raises a body's reservation to a size.
func (in *Intake) reserve(b *Body, size int) *Refused {
	now := in.clock.Now()
	if size > SmallBytes && !in.mayTake(b.workspace, size-b.reserved, now) {
		return in.refuse(Share)
	}
	if !in.makeRoom(b, size, now) {
		b.workspace.refusedAt, in.refusedAt = now, now
		return in.refuse(NoRoom)
	}
	b.count(now)
	in.set(b, size)
	return nil
}

// set changes a body's reservation to a size.
func (in *Intake) set(b *Body, size int) {
	if b.reserved > SmallBytes {
		in.heldLarge -= b.reserved
	}
	if size > SmallBytes {
		in.heldLarge += size
	}
	in.held += size - b.reserved
	b.workspace.held += size - b.reserved
	b.reserved = size
	in.peak = max(in.peak, in.held)
}

// makeRoom reports whether a body's reservation may be raised to a size now. If bodies must give way for
// it, they are made to.
func (in *Intake) makeRoom(b *Body, size int, now time.Time) bool {
	missing := in.missing(b, size)
	if missing <= 0 {
		return true
	}
	large := size > SmallBytes
	var yielding []*Body
	possible := 0
	for other := range in.bodies {
		if other != b && !other.whole && !other.gaveWay && (!large || other.reserved > SmallBytes) && other.yields(now, in.settings.BodyTime) {
			yielding = append(yielding, other)
			possible += other.reserved
		}
	}
	if possible < missing {
		return false
	}
	fits := missing <= in.maxLeaving()-in.leaving // else those that give way make room for the next try
	slices.SortFunc(yielding, func(x, y *Body) int { return cmp.Compare(y.area, x.area) })
	for _, other := range yielding {
		if missing <= 0 {
			break
		}
		missing -= other.reserved
		other.gaveWay = true
		in.leaving += other.reserved
		in.refused[GaveWay]++
		other.giveWay()
	}
	return fits
}

// missing returns how many bytes there are too few to raise a body's reservation to a size.
func (in *Intake) missing(b *Body, size int) int {
	leaving := min(in.leaving, in.maxLeaving())
	missing := in.held - leaving + size - b.reserved - in.settings.Capacity
	if size > SmallBytes {
		heldLarge := in.heldLarge - leaving
		if b.reserved > SmallBytes {
			heldLarge -= b.reserved
		}
		missing = max(missing, heldLarge+size-in.largeCapacity())
	}
	return missing
}

// maxLeaving is how much may be held beyond the capacity, by bodies that have given way: they are read
// no more, but their memory is not free at once.
func (in *Intake) maxLeaving() int { return in.settings.Capacity / smallShare }

// largeCapacity is the part of the capacity for bodies of more than SmallBytes.
func (in *Intake) largeCapacity() int {
	return in.settings.Capacity - in.settings.Capacity/smallShare
}

// mayTake reports whether a workspace may hold more large bodies, in view of others that want room.
func (in *Intake) mayTake(w *workspace, more int, now time.Time) bool {
	if !in.wants(in.refusedAt, now) {
		return true
	}
	active, wanted := 0, false
	for _, other := range in.workspaces {
		wants := in.wants(other.refusedAt, now)
		if other.held > 0 || wants || other == w {
			active++
		}
		wanted = wanted || (wants && other != w)
	}
	if !wanted {
		return true
	}
	capacity := in.largeCapacity()
	share := max(capacity/active, capacity/minShares)
	return w.held+more <= share || in.heldLarge+more <= capacity/openShare || in.heldLarge == 0
}

// wants reports whether a refusal is so recent that its workspace counts as wanting room.
func (in *Intake) wants(refusedAt, now time.Time) bool {
	return !refusedAt.IsZero() && now.Sub(refusedAt) < wantTime
}

// forget drops a workspace of which nothing is to be known.
func (in *Intake) forget(w *workspace, now time.Time) {
	if w.bodies == 0 && !in.wants(w.refusedAt, now) {
		delete(in.workspaces, w.name)
	}
}

func (in *Intake) refuse(cause Cause) *Refused {
	if cause != GaveWay { // counted when it did
		in.refused[cause]++
	}
	return &Refused{Cause: cause, After: minReturn + rand.N(returnSpread)}
}

// yields reports whether the body gives way to others that want room.
func (b *Body) yields(now time.Time, bodyTime time.Duration) bool {
	age := now.Sub(b.opened)
	if age < graceTime {
		return false
	}
	b.count(now)
	b.roll(now)
	elapsed := min(age, rateWindow+now.Sub(b.window))
	rate := float64(b.previous+b.recent) / elapsed.Seconds()
	return b.area > rate*bodyTime.Seconds()*bodyTime.Seconds()
}

// count adds what the body has reserved since the last call to its area.
func (b *Body) count(now time.Time) {
	b.area += float64(b.reserved) * now.Sub(b.counted).Seconds()
	b.counted = now
}

// roll begins a new window of the rate if the current one is over.
func (b *Body) roll(now time.Time) {
	switch passed := now.Sub(b.window); {
	case passed < rateWindow:
	case passed < 2*rateWindow:
		b.previous, b.recent, b.window = b.recent, 0, b.window.Add(rateWindow)
	default:
		b.previous, b.recent, b.window = 0, 0, now
	}
}
