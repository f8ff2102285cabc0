package beechplace

import (
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechroom"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// Placer chooses servers. It is safe for concurrent use.
	Placer struct {
		settings   Settings
		clock      clockwork.Clock
		health     Health
		limits     *beechthrottle.Throttle
		overloaded *beechroom.Register
		announce   Announce

		mu             sync.Mutex
		services       map[string][]*server
		byID           map[string]*server
		byAddress      map[netip.AddrPort]*server
		byHash         map[uint64]*server // of the ID
		serviceConfigs map[string]beechcall.Service
		kvStores       []*kvStore
		versions       map[string]*beechrollout.VersionHistory // by model
		locations      *lru.Cache[uint64, *partLocations]
		prefill        prefillModel // of engines in common, as learned
		medianPace     float64      // what first words tell of the middle one's pace
		meanPrefill    float64      // tokens that a request has to read, the mean of the last
		meanPrompt     float64      // tokens of a prompt, the mean of the last
		residence      residenceTime
		nextRetry      map[string]time.Time // by service: when the last caller was told to come back
	}

	// server is a backend server in one lifetime with what is believed of it.
	server struct {
		beechcall.Server
		slots      int
		superseded bool // another lifetime has its address
		replaced   bool // another one answered there

		reportedAt    time.Time // when its keeper last spoke; zero: never
		state         State
		restartedAt   time.Time         // when it was seen to have started anew under its ID; zero: never
		outdatedSince time.Time         // since when its weights are overtaken, by its keeper; zero: they are not, as it knows
		weights       map[string]uint64 // the latest word, the list's or the engine's own

		answerLoad       beechcall.Load // with its last answer to this gate
		answerLoadAt     time.Time
		inFlightAtAnswer int // flying then

		pace             pace
		inFlight         int // sent by this gate, not answered
		pendingPrefill   int // tokens that these still have to read
		inFlightAtReport int // flying when the keeper spoke
		failures         int
		downUntil        time.Time
		unavailableUntil time.Time // by the plan or by its own refusal: it loads weights
		// doubtTil is while what answers at its address after it was down may be
		// another lifetime, which the list does not tell yet. Sent on at once,
		// requests would be turned away there, and the tries that each costs would be
		// missed elsewhere.
		identityDoubtUntil time.Time
	}

	// holding is where a shared part was sent lately. An instruction that all
	// requests share lies in every engine, so all holders are remembered: with
	// the latest few only, an engine that holds both the instruction and a history
	// would be taken for one that has neither, and the history be read elsewhere.
	partLocations struct {
		servers map[string]cachedCopy // by ID
		sources []string              // IDs to fetch from, the latest first
		savedAt time.Time
	}

	cachedCopy struct {
		usedAt  time.Time
		readyAt time.Time // when it will have read the parts, so that others can fetch them
	}
)

const (
	maxTrackedParts    = 8192 // subjects with salts; the deployments have under a thousand at once
	maxSources         = 4
	reportTTL          = 1500 * time.Millisecond // a keeper speaks several times in this
	identityDoubtTime  = 1500 * time.Millisecond // a server that starts writes its entry at once, and the list tells of it within a second
	keeperSilentAfter  = 900 * time.Millisecond  // two intervals of a keeper whose engine works, and an idle one's
	answerLoadTTL      = 500 * time.Millisecond  // other gates' requests come and go
	rejectionPause     = 150 * time.Millisecond  // a server that turned work away gets none for a moment
	minAnnouncedTokens = 1500                    // tokens; a shorter prompt holds nobody up for long
	defaultSlots       = 8
)

// New returns a placer that knows no server.
func New(s Settings, clock clockwork.Clock, health Health, limits *beechthrottle.Throttle, full *beechroom.Register, announce Announce) *Placer {
	holders, err := lru.New[uint64, *partLocations](maxTrackedParts)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	s = s.withDefaults()
	return &Placer{
		settings: s, prefill: prefillModel{rate: s.PrefillRate}, clock: clock, health: health, limits: limits, overloaded: full, announce: announce,
		services: make(map[string][]*server), byID: make(map[string]*server), byAddress: make(map[netip.AddrPort]*server),
		serviceConfigs: make(map[string]beechcall.Service), versions: make(map[string]*beechrollout.VersionHistory), locations: holders,
		nextRetry: make(map[string]time.Time),
	}
}

// SetServers replaces the list of servers. One that is on the old list and not
// on the new is gone; what is believed of the others stays.
func (p *Placer) SetServers(list []beechcall.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.byID
	p.byID = make(map[string]*server, len(list))
	p.byAddress = make(map[netip.AddrPort]*server, len(list))
	p.byHash = make(map[uint64]*server, len(list))
	p.services = make(map[string][]*server)
	for _, entry := range list {
		s, ok := previous[entry.ID]
		if !ok {
			s = &server{weights: make(map[string]uint64)}
		} else {
			p.observeStart(s, entry.Born)
			entry.Born = max(entry.Born, s.Born) // the list may be older than the keeper's word
		}
		s.Server = entry
		s.slots = entry.Slots
		s.superseded = false
		for model, version := range entry.Weights {
			s.weights[model] = max(s.weights[model], version)
		}
		p.byID[entry.ID] = s
		p.byHash[xxhash.Sum64String(entry.ID)] = s
		p.assignAddress(s)
		p.services[entry.Service] = append(p.services[entry.Service], s)
	}
	for id := range previous {
		if _, listed := p.byID[id]; !listed {
			p.limits.Anew(id, 0)
		}
	}
	for _, servers := range p.services {
		slices.SortFunc(servers, func(x, y *server) int {
			if x.ID < y.ID {
				return -1
			}
			return 1
		})
	}
}

// place gives a server its address. An address has one server at a time: of two
// lines the earlier is that of a lifetime that has ended.
func (p *Placer) assignAddress(s *server) {
	current, occupied := p.byAddress[s.Address]
	switch {
	case s.replaced:
		s.superseded = true
	case !occupied:
		p.byAddress[s.Address] = s
	case current.ListedAt < s.ListedAt:
		current.superseded = true
		p.byAddress[s.Address] = s
	default:
		s.superseded = true
	}
}

// SetConfiguration takes in the services' sheets.
func (p *Placer) SetConfiguration(c *beechcall.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceConfigs = c.Services
	p.setKVStores(c.KVStores())
}

// SetGates tells how many gates send to the same engines.
func (p *Placer) SetGates(n int) {
	p.mu.Lock()
	p.settings.Gates = max(n, 1)
	p.updateLinkShares()
	p.mu.Unlock()
}

// SetLatestVersion tells that a model's weights were named. The answer tells whether that
// is news.
func (p *Placer) SetLatestVersion(model string, version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.versions[model]
	if !ok {
		v = &beechrollout.VersionHistory{}
		p.versions[model] = v
	}
	return v.Add(version, p.clock.Now())
}

// overtaken is the time since an engine's weights were overtaken, by what this
// gate has heard or, if that is longer, by its keeper's word: a gate that was
// started a moment ago takes every version for new.
func (p *Placer) outdatedFor(s *server, model string, version uint64, now time.Time) (age time.Duration, outdated bool) {
	v, ok := p.versions[model]
	if !ok {
		return 0, false
	}
	age, outdated = v.SupersededFor(version, now)
	if outdated && !s.outdatedSince.IsZero() {
		age = max(age, now.Sub(s.outdatedSince))
	}
	return age, outdated
}

// born takes in when a server's lifetime began. One that has started anew under
// its ID holds nothing, owes nothing and has which weights it says; beliefs of
// before would send it requests for parts that it lost.
func (p *Placer) observeStart(s *server, start uint64) {
	if start <= s.Born {
		return // not told, known, or late word of a lifetime before
	}
	if s.Born != 0 {
		p.limits.Anew(s.ID, start)
		s.restartedAt = p.clock.Now()
		s.weights = make(map[string]uint64)
		s.pendingPrefill, s.failures = 0, 0
		s.pace = pace{}
		s.reportedAt, s.downUntil, s.unavailableUntil = time.Time{}, time.Time{}, time.Time{}
	}
	s.Born = start
}

// RolloutEngines gives what is known of the engines that serve a model, for a rollout
// of its weights. Those that leave the fleet are not among them.
func (p *Placer) RolloutEngines(model string) []beechrollout.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var engines []beechrollout.Engine
	for _, s := range p.byID {
		if _, serves := s.Server.Weights[model]; !serves || s.Leaving || s.superseded {
			continue
		}
		age, _ := p.outdatedFor(s, model, s.weights[model], now)
		engines = append(engines, beechrollout.Engine{
			ID: s.ID, Zone: s.Zone, Version: s.weights[model], Phase: s.state.Phase, KeeperTimedOut: !s.hasRecentReport(now), UnansweredOrders: s.state.Tries,
			Requests: s.state.Running + s.state.Waiting, Slots: s.slots, SupersededFor: age,
		})
	}
	return engines
}

// UpdateState takes in what a keeper says of its engine. The answer is the engine's
// ID, empty if none is known at its address. Words that went by different gates
// overtake one another: one that is older than what is known is no news, unless
// the keeper has been silent for so long that it has probably started anew.
func (p *Placer) UpdateState(s State) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine, ok := p.byAddress[s.Address]
	if !ok || (s.Number < engine.state.Number && engine.hasRecentReport(p.clock.Now())) {
		return ""
	}
	if engine.state.Phase == beechrollout.Down && s.Phase != beechrollout.Down {
		engine.identityDoubtUntil = p.clock.Now().Add(identityDoubtTime)
	}
	if s.Born > engine.Born && engine.Born != 0 {
		engine.identityDoubtUntil = time.Time{} // it has started anew under its ID
	}
	p.observeStart(engine, s.Born)
	engine.outdatedSince = time.Time{}
	if s.Old > 0 {
		engine.outdatedSince = p.clock.Now().Add(-s.Old)
	}
	engine.reportedAt, engine.state, engine.inFlightAtReport = p.clock.Now(), s, engine.inFlight
	for model, version := range s.Weights {
		engine.weights[model] = version
	}
	if s.Phase == beechrollout.Serving {
		engine.unavailableUntil = time.Time{}
	}
	for _, key := range s.Kept {
		p.recordSaved(key, engine.reportedAt)
	}
	for _, key := range s.Gone {
		p.removeCopy(key, engine.ID)
	}
	for _, key := range s.Parts {
		p.recordCopy(key, engine.ID, engine.reportedAt, p.prefillDoneAt(engine, engine.reportedAt), false)
	}
	return engine.ID
}

// InOwnZone tells whether a server is in this gate's zone.
func (p *Placer) InOwnZone(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	return ok && s.Zone == p.settings.Zone
}

// KeeperSilent tells whether a server's keeper has not spoken for a while: its words may
// be lost on their way through others, and it is to be asked directly.
func (p *Placer) KeeperSilent(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	return ok && p.clock.Since(s.reportedAt) > keeperSilentAfter
}

// PrefillRate is how many prompt tokens engines read in a millisecond, as learned;
// 0 until something was.
func (p *Placer) PrefillRate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.prefill.learned {
		return 0
	}
	return int(p.prefill.rate + 0.5)
}

// salt keeps the cache of other weights and of other workspaces apart where one
// of them is isolated: a part is found only under the salt it was read with.
func cacheSalt(call *beechcall.Call, version uint64) string {
	text := "w" + strconv.FormatUint(version, 10)
	if call.Workspace.Isolated {
		text += "." + call.Workspace.Name
	}
	return text
}
