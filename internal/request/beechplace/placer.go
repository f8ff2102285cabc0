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

	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// Placer chooses servers. It is safe for concurrent use.
	Placer struct {
		settings Settings
		clock    clockwork.Clock
		health   Health
		limits   *beechthrottle.Throttle
		full     *beechsaturation.Tracker
		announce Announce

		mu       sync.Mutex
		services map[string][]*server
		byID     map[string]*server
		byPlace  map[netip.AddrPort]*server
		byHash   map[uint64]*server // of the ID
		sheets   map[string]beechcall.Service
		stores   []*keptStore
		versions map[string]*beechrollout.Versions // by model
		holders  *lru.Cache[uint64, *holding]
		speed    speed   // of engines in common, as learned
		common   float64 // what first words tell of the middle one's pace
		usual    float64 // tokens that a request has to read, the mean of the last
		size     float64 // tokens of a prompt, the mean of the last
		stay     stay
		returns  map[string]time.Time // by service: when the last caller was told to come back
	}

	// server is a backend server in one lifetime with what is believed of it.
	server struct {
		beechcall.Server
		slots   int
		over    bool // another lifetime has its address
		refuted bool // another one answered there

		told     time.Time // when its keeper last spoke; zero: never
		state    State
		empty    time.Time         // when it was seen to have started anew under its ID; zero: never
		oldSince time.Time         // since when its weights are overtaken, by its keeper; zero: they are not, as it knows
		weights  map[string]uint64 // the latest word, the list's or the engine's own

		said   beechcall.Load // with its last answer to this gate
		saidAt time.Time
		atSaid int // flying then

		pace    pace
		flying  int // sent by this gate, not answered
		unread  int // tokens that these still have to read
		atTold  int // flying when the keeper spoke
		fails   int
		downTil time.Time
		darkTil time.Time // by the plan or by its own refusal: it loads weights
		// doubtTil is while what answers at its address after it was down may be
		// another lifetime, which the list does not tell yet. Sent on at once,
		// requests would be turned away there, and the tries that each costs would be
		// missed elsewhere.
		doubtTil time.Time
	}

	// holding is where a shared part was sent lately. An instruction that all
	// requests share lies in every engine, so all holders are remembered: with
	// the latest few only, an engine that holds both the instruction and a history
	// would be taken for one that has neither, and the history be read elsewhere.
	holding struct {
		servers map[string]holder // by ID
		latest  []string          // IDs to fetch from, the latest first
		saved   time.Time
	}

	holder struct {
		at   time.Time
		from time.Time // when it will have read the parts, so that others can fetch them
	}
)

const (
	holdersKept   = 8192 // subjects with salts; the deployments have under a thousand at once
	sourcesListed = 4
	toldLasts     = 1500 * time.Millisecond // a keeper speaks several times in this
	doubtLasts    = 1500 * time.Millisecond // a server that starts writes its entry at once, and the list tells of it within a second
	unheardAfter  = 900 * time.Millisecond  // two intervals of a keeper whose engine works, and an idle one's
	saidLasts     = 500 * time.Millisecond  // other gates' requests come and go
	refusalDark   = 150 * time.Millisecond  // a server that turned work away gets none for a moment
	announceLeast = 1500                    // tokens; a shorter prompt holds nobody up for long
	defaultSlots  = 8
)

// New returns a placer that knows no server.
func New(s Settings, clock clockwork.Clock, health Health, limits *beechthrottle.Throttle, full *beechsaturation.Tracker, announce Announce) *Placer {
	holders, err := lru.New[uint64, *holding](holdersKept)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	s = s.withDefaults()
	return &Placer{
		settings: s, speed: speed{rate: s.PrefillRate}, clock: clock, health: health, limits: limits, full: full, announce: announce,
		services: make(map[string][]*server), byID: make(map[string]*server), byPlace: make(map[netip.AddrPort]*server),
		sheets: make(map[string]beechcall.Service), versions: make(map[string]*beechrollout.Versions), holders: holders,
		returns: make(map[string]time.Time),
	}
}

// SetServers replaces the list of servers. One that is on the old list and not
// on the new is gone; what is believed of the others stays.
func (p *Placer) SetServers(list []beechcall.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byID
	p.byID = make(map[string]*server, len(list))
	p.byPlace = make(map[netip.AddrPort]*server, len(list))
	p.byHash = make(map[uint64]*server, len(list))
	p.services = make(map[string][]*server)
	for _, line := range list {
		s, ok := old[line.ID]
		if !ok {
			s = &server{weights: make(map[string]uint64)}
		} else {
			p.born(s, line.Born)
			line.Born = max(line.Born, s.Born) // the list may be older than the keeper's word
		}
		s.Server = line
		s.slots = line.Slots
		s.over = false
		for model, version := range line.Weights {
			s.weights[model] = max(s.weights[model], version)
		}
		p.byID[line.ID] = s
		p.byHash[xxhash.Sum64String(line.ID)] = s
		p.place(s)
		p.services[line.Service] = append(p.services[line.Service], s)
	}
	for id := range old {
		if _, listed := p.byID[id]; !listed {
			p.limits.ServerRestarted(id, 0)
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
func (p *Placer) place(s *server) {
	there, taken := p.byPlace[s.Address]
	switch {
	case s.refuted:
		s.over = true
	case !taken:
		p.byPlace[s.Address] = s
	case there.Since < s.Since:
		there.over = true
		p.byPlace[s.Address] = s
	default:
		s.over = true
	}
}

// SetConfiguration takes in the services' sheets.
func (p *Placer) SetConfiguration(c *beechcall.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sheets = c.Services
	p.setStores(c.KeptStores())
}

// SetFronts tells how many gates send to the same engines.
func (p *Placer) SetFronts(n int) {
	p.mu.Lock()
	p.settings.Fronts = max(n, 1)
	p.shareLinks()
	p.mu.Unlock()
}

// Named tells that a model's weights were named. The answer tells whether that
// is news.
func (p *Placer) Named(model string, version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.versions[model]
	if !ok {
		v = &beechrollout.Versions{}
		p.versions[model] = v
	}
	return v.Name(version, p.clock.Now())
}

// overtaken is the time since an engine's weights were overtaken, by what this
// gate has heard or, if that is longer, by its keeper's word: a gate that was
// started a moment ago takes every version for new.
func (p *Placer) overtaken(s *server, model string, have uint64, now time.Time) (age time.Duration, old bool) {
	v, ok := p.versions[model]
	if !ok {
		return 0, false
	}
	age, old = v.Overtaken(have, now)
	if old && !s.oldSince.IsZero() {
		age = max(age, now.Sub(s.oldSince))
	}
	return age, old
}

// born takes in when a server's lifetime began. One that has started anew under
// its ID holds nothing, owes nothing and has which weights it says; beliefs of
// before would send it requests for parts that it lost.
func (p *Placer) born(s *server, at uint64) {
	if at <= s.Born {
		return // not told, known, or late word of a lifetime before
	}
	if s.Born != 0 {
		p.limits.ServerRestarted(s.ID, at)
		s.empty = p.clock.Now()
		s.weights = make(map[string]uint64)
		s.unread, s.fails = 0, 0
		s.pace = pace{}
		s.told, s.downTil, s.darkTil = time.Time{}, time.Time{}, time.Time{}
	}
	s.Born = at
}

// Standing gives what is known of the engines that serve a model, for a rollout
// of its weights. Those that leave the fleet are not among them.
func (p *Placer) Standing(model string) []beechrollout.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var engines []beechrollout.Engine
	for _, s := range p.byID {
		if _, serves := s.Server.Weights[model]; !serves || s.Leaving || s.over {
			continue
		}
		age, _ := p.overtaken(s, model, s.weights[model], now)
		engines = append(engines, beechrollout.Engine{
			ID: s.ID, Zone: s.Zone, Version: s.weights[model], Phase: s.state.Phase, Silent: !s.fresh(now), Tries: s.state.Tries,
			Work: s.state.Running + s.state.Waiting, Slots: s.slots, Old: age,
		})
	}
	return engines
}

// Tell takes in what a keeper says of its engine. The answer is the engine's
// ID, empty if none is known at its address. Words that went by different gates
// overtake one another: one that is older than what is known is no news, unless
// the keeper has been silent for so long that it has probably started anew.
func (p *Placer) Tell(s State) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.byPlace[s.Address]
	if !ok || (s.Number < v.state.Number && v.fresh(p.clock.Now())) {
		return ""
	}
	if v.state.Phase == beechrollout.Down && s.Phase != beechrollout.Down {
		v.doubtTil = p.clock.Now().Add(doubtLasts)
	}
	if s.Born > v.Born && v.Born != 0 {
		v.doubtTil = time.Time{} // it has started anew under its ID
	}
	p.born(v, s.Born)
	v.oldSince = time.Time{}
	if s.Old > 0 {
		v.oldSince = p.clock.Now().Add(-s.Old)
	}
	v.told, v.state, v.atTold = p.clock.Now(), s, v.flying
	for model, version := range s.Weights {
		v.weights[model] = version
	}
	if s.Phase == beechrollout.Serving {
		v.darkTil = time.Time{}
	}
	for _, key := range s.Kept {
		p.keep(key, v.told)
	}
	for _, key := range s.Gone {
		p.drop(key, v.ID)
	}
	for _, key := range s.Parts {
		p.hold(key, v.ID, v.told, p.readBy(v, v.told), false)
	}
	return v.ID
}

// Near tells whether a server is in this gate's zone.
func (p *Placer) Near(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	return ok && s.Zone == p.settings.Zone
}

// Unheard tells whether a server's keeper has not spoken for a while: its words may
// be lost on their way through others, and it is to be asked directly.
func (p *Placer) Unheard(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	return ok && p.clock.Since(s.told) > unheardAfter
}

// ReadRate is how many prompt tokens engines read in a millisecond, as learned;
// 0 until something was.
func (p *Placer) ReadRate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.speed.known {
		return 0
	}
	return int(p.speed.rate + 0.5)
}

// salt keeps the cache of other weights and of other workspaces apart where one
// of them is isolated: a part is found only under the salt it was read with.
func salt(call *beechcall.Call, version uint64) string {
	text := "w" + strconv.FormatUint(version, 10)
	if call.Workspace.Isolated {
		text += "." + call.Workspace.Name
	}
	return text
}
