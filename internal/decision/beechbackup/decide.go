package beechbackup

import (
	"net/netip"
	"time"
)

type (
	// Mode is the operators' setting.
	Mode string

	// Reason is why a run has no backup, or why it does not go on; for logs and metrics.
	Reason string

	// Service is what is known of the engines of a service.
	Service struct {
		Offered    bool    // its engines take backups
		TokenBytes int     // size of a token in an engine's memory
		LinkRate   float64 // bytes that an engine sends or receives per millisecond
		Contended  bool    // its engines tell how slow their hosts are, or callers compete for them
		CrashRate  float64 // crashes of each engine, per second
	}

	// Run is a run that may get a backup.
	Run struct {
		Tokens   int           // of the prompt and of the longest answer
		Duration time.Duration // for which the answer will be generated
	}

	// Engine is an engine that runs a request, or that may keep a copy of its memory.
	Engine struct {
		Host       netip.Addr
		Zone       string
		Weights    uint64
		Software   string  // empty: not known
		CacheUsed  int     // tokens that cannot be evicted, copies that are on their way included
		CacheTotal int     // 0: not known
		Load       float64 // share of its slots
		Pace       float64 // how many times as long as others it takes
		Rank       uint64  // differs from request to request
	}

	// Loss is what is known when a stream has broken off.
	Loss struct {
		Copy           CopyState
		Source         SourceState
		Evidence       Evidence      // why Source is Ended
		Waited         time.Duration // since the stream broke off
		Left           time.Duration // until the deadline
		Blamed         bool          // servers crash on the request
		WeightsChanged bool          // during the run
		Unnumbered     bool          // the caller's last event has no ID to go on after
		Usable         bool          // the backup's engine takes requests, and is of the lifetime that got the copy
		SameWeights    bool
		SameSoftware   bool
	}

	// SourceState is what is known of the process that a stream broke off at.
	SourceState int

	// Evidence is why a process counts as ended, for logs. It is empty if it does not.
	Evidence string

	// CopyState is what is known of the copy of a run.
	CopyState int

	// Verdict is what follows a loss: Continue, Wait or GiveUp.
	Verdict interface{ verdict() }

	// Continue means that the run goes on at the backup's engine.
	Continue struct{}

	// Wait means that it is not known yet whether the source has ended.
	Wait struct{}

	// GiveUp means that the stream ends.
	GiveUp struct{ Reason Reason }
)

// The modes. Auto is for contended services whose configuration offers backups, while their engines
// crash in series.
const (
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// States of a source.
const (
	Silent  SourceState = iota // no connection can be made: it may have ended, or its link may be broken
	Running                    // its process accepts connections
	Ended                      // its process has ended
	Probing                    // it is being looked at, which may put a blame on the request
)

// Evidence of the end of a process.
const (
	ExitedOnItsHost Evidence = "exited, as its keeper says"
	LaterLifetime   Evidence = "later lifetime, as its keeper says"
)

// States of a copy.
const (
	NoCopyLeft CopyState = iota // it was not made, or it was used
	OnItsWay
	Arrived
)

// Reasons.
const (
	TooRare        Reason = "engines seldom crash"
	TooShort       Reason = "answer too short"
	TooLarge       Reason = "transfer too long for the answer"
	NoEngine       Reason = "no engine with memory to spare"
	SourceRunning  Reason = "server may be running"
	Blamed         Reason = "servers crash on it"
	WeightsChanged Reason = "weights changed"
	SoftwareDiffer Reason = "other software"
	EngineLost     Reason = "backup's engine lost"
	NoCopy         Reason = "no copy"
	LostAgain      Reason = "lost again"
	NoBudget       Reason = "retry budget spent"
	NoTime         Reason = "no time left"
	NoEventID      Reason = "events without IDs"
)

const (
	// minDuration is for how much longer an answer must be generated. Each copy pushes as many cached
	// tokens out of the memory of its engine, whatever the answer's length, while what it saves grows with
	// the time: the few longest answers take most of the engines' time.
	minDuration = time.Second
	// minRisk is the chance that the run is lost from which on a copy pays. It delays others: it pushes out
	// cached tokens that have to be read again, and it is lost itself if its engine crashes at the same time.
	minRisk = 0.04
	// maxTransferShare is the share of the answer's time that the transfer may take. All running
	// streams together then use as much of their engines' links at the most.
	maxTransferShare = 0.05
	// maxUsedShare is the share of an engine's memory that may be in use with the copy. The rest is
	// left for what runs there to grow, and for the prompts that are on their way.
	maxUsedShare = 0.7
	// candidates are compared for each run. With all engines compared, gates that have the same
	// reports would send all copies to one engine until the next reports.
	candidates = 3
	// maxPace excludes engines that would generate the rest much more slowly.
	maxPace = 1.5
	// maxWait bounds the wait for proof that a source has ended: callers leave after a pause of some
	// seconds, and a slow end is worth less.
	maxWait = time.Second
	// minLeft is the time that an engine needs to take up a run.
	minLeft = 50 * time.Millisecond
)

func (Continue) verdict() {}
func (Wait) verdict()     {}
func (GiveUp) verdict()   {}

// Applies reports whether runs of a service may get backups.
func (m Mode) Applies(s Service) bool {
	if !s.Offered || s.TokenBytes <= 0 || s.LinkRate <= 0 {
		return false
	}
	return m == On || (m != Off && s.Contended)
}

// Pays returns why a backup of a run does not pay, or an empty reason. With mode On the operators have
// decided that engines crash often enough.
func (m Mode) Pays(s Service, r Run) Reason {
	if m == Auto && s.CrashRate*r.Duration.Seconds() < minRisk {
		return TooRare
	}
	if r.Duration < minDuration {
		return TooShort
	}
	transfer := float64(r.Tokens) * float64(s.TokenBytes) / s.LinkRate
	if transfer > maxTransferShare*float64(r.Duration)/float64(time.Millisecond) {
		return TooLarge
	}
	return ""
}

// Choose returns the index of the engine that keeps the copy of a run at the source.
func Choose(r Run, source Engine, engines []Engine) (index int, ok bool) {
	var best [candidates]int
	count := 0
	for i, e := range engines {
		if !e.mayKeep(r, source) {
			continue
		}
		at := count
		for at > 0 && before(source, e, engines[best[at-1]]) {
			at--
		}
		if at == candidates {
			continue
		}
		count = min(count+1, candidates)
		copy(best[at+1:count], best[at:])
		best[at] = i
	}
	if count == 0 {
		return 0, false
	}
	index = best[0]
	for _, i := range best[1:count] {
		if engines[i].Zone == engines[index].Zone && engines[i].pressure() < engines[index].pressure() {
			index = i
		}
	}
	return index, true
}

// before orders engines by the source's zone and by rank.
func before(source, x, y Engine) bool {
	if near := x.Zone == source.Zone; near != (y.Zone == source.Zone) {
		return near
	}
	return x.Rank < y.Rank
}

func (e Engine) mayKeep(r Run, source Engine) bool {
	return e.Host != source.Host && e.Weights == source.Weights && e.Software != "" && e.Software == source.Software &&
		e.Pace <= maxPace && e.Load < 1 && e.CacheTotal > 0 && float64(e.CacheUsed+r.Tokens) <= maxUsedShare*float64(e.CacheTotal)
}

// pressure orders engines by their room for a copy, and for its run should it go on there.
func (e Engine) pressure() float64 { return float64(e.CacheUsed)/float64(e.CacheTotal) + e.Load }

// Decide returns what follows a loss.
func Decide(l Loss) Verdict {
	switch {
	case l.Copy == NoCopyLeft:
		return GiveUp{NoCopy}
	case l.Left < minLeft:
		return GiveUp{NoTime}
	case l.Source == Running || l.Waited >= maxWait && l.Source != Ended:
		return GiveUp{SourceRunning}
	case l.Unnumbered:
		return GiveUp{NoEventID}
	case l.Blamed:
		return GiveUp{Blamed}
	case l.WeightsChanged:
		return GiveUp{WeightsChanged}
	case !l.Usable:
		return GiveUp{EngineLost}
	case !l.SameWeights:
		return GiveUp{WeightsChanged}
	case !l.SameSoftware:
		return GiveUp{SoftwareDiffer}
	case l.Source != Ended || l.Copy == OnItsWay:
		return Wait{}
	}
	return Continue{}
}
