package beechbackup

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var offered = Service{Offered: true, TokenBytes: 131072, LinkRate: 10e6, Contended: true, CrashRate: 0.2}

func host(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// engine returns an engine with half of its memory in use.
func engine(n int, zone string) Engine {
	return Engine{Host: host(n), Zone: zone, Weights: 3, Software: "v1", CacheUsed: 50000, CacheTotal: 100000, Load: 0.5, Pace: 1, Rank: uint64(n)}
}

func TestModes(t *testing.T) {
	is := is.New(t)
	silent, notOffered := offered, offered
	silent.Contended, notOffered.Offered = false, false
	is.True(Auto.Applies(offered))
	is.True(!Auto.Applies(silent))
	is.True(!Auto.Applies(notOffered))
	is.True(On.Applies(silent))
	is.True(!On.Applies(notOffered))
	is.True(!Off.Applies(offered))
	is.True(!On.Applies(Service{Offered: true}))
}

// A long prompt with a short answer would fill links and memory for a run that has nearly ended.
func TestBackupsOfShortAnswersDoNotPay(t *testing.T) {
	is := is.New(t)
	is.Equal(Auto.Pays(offered, Run{Tokens: 900, Duration: 2 * time.Second}), Reason(""))
	is.Equal(Auto.Pays(offered, Run{Tokens: 900, Duration: 500 * time.Millisecond}), TooShort)
	is.Equal(Auto.Pays(offered, Run{Tokens: 9000, Duration: 2 * time.Second}), TooLarge)
	is.Equal(Auto.Pays(offered, Run{Tokens: 9000, Duration: 6 * time.Second}), Reason(""))
}

// While no engine crashes nothing is copied, unless operators want it.
func TestBackupsBeginWithCrashes(t *testing.T) {
	is := is.New(t)
	const engines = 40
	run, start := Run{Tokens: 900, Duration: 3 * time.Second}, time.Unix(1000, 0)
	var risk Risk
	pays := func(m Mode, now time.Time) Reason {
		s := offered
		s.CrashRate = risk.Rate(engines, now)
		return m.Pays(s, run)
	}
	is.Equal(pays(Auto, start), TooRare)
	is.Equal(pays(On, start), Reason(""))
	risk.RecordCrash(start)
	is.Equal(pays(Auto, start), TooRare)
	for range engines / 4 {
		risk.RecordCrash(start)
	}
	is.Equal(pays(Auto, start), TooRare) // all of one moment
	again := start.Add(4 * time.Second)
	for range engines / 4 {
		risk.RecordCrash(again)
	}
	is.Equal(pays(Auto, again), Reason(""))
	is.Equal(pays(Auto, again.Add(riskWindow/2)), Reason(""))
	is.Equal(pays(Auto, again.Add(2*riskWindow)), TooRare)
}

func TestEnginesThatMayNotKeepACopy(t *testing.T) {
	run := Run{Tokens: 900, Duration: time.Second}
	source := engine(1, "a")
	for name, edit := range map[string]func(*Engine){
		"same host":         func(e *Engine) { e.Host = source.Host },
		"other weights":     func(e *Engine) { e.Weights = 4 },
		"other software":    func(e *Engine) { e.Software = "v2" },
		"unknown software":  func(e *Engine) { e.Software = "" },
		"memory short":      func(e *Engine) { e.CacheUsed = 69500 },
		"memory not known":  func(e *Engine) { e.CacheTotal = 0 },
		"slots taken":       func(e *Engine) { e.Load = 1 },
		"slow at this time": func(e *Engine) { e.Pace = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unfit := engine(2, "a")
			edit(&unfit)
			_, ok := Choose(run, source, []Engine{unfit})
			is.True(!ok)
			index, ok := Choose(run, source, []Engine{unfit, engine(3, "b")})
			is.True(ok)
			is.Equal(index, 1)
		})
	}
}

// Whatever the fleet, the chosen engine may keep the copy, and another zone is chosen only if no
// engine of the run's own may.
func TestChosenEngineFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := Run{Tokens: rapid.IntRange(1, 5000).Draw(t, "tokens"), Duration: time.Second}
		source := engine(0, "a")
		var engines []Engine
		near := false
		for n := range rapid.IntRange(0, 30).Draw(t, "engines") {
			e := engine(rapid.IntRange(0, 5).Draw(t, "host"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
			e.CacheUsed, e.Rank = rapid.IntRange(0, 100000).Draw(t, "used"), uint64(n)
			near = near || (e.mayKeep(run, source) && e.Zone == "a")
			engines = append(engines, e)
		}
		index, ok := Choose(run, source, engines)
		if !ok {
			for _, e := range engines {
				if e.mayKeep(run, source) {
					t.Fatal("an engine was passed over")
				}
			}
			return
		}
		if chosen := engines[index]; !chosen.mayKeep(run, source) || (near && chosen.Zone != "a") {
			t.Fatalf("chose %+v", chosen)
		}
	})
}

// Load: 24 gates decide by the same reports, 200 ms old, for 200 runs a second. No engine is filled
// beyond the share that is left to copies.
func TestGatesDoNotFillOneEngine(t *testing.T) {
	is := is.New(t)
	const gates, perGate, tokens = 24, 2, 900
	random := rand.New(rand.NewPCG(1, 2))
	var engines []Engine
	for n := range 40 {
		e := engine(n+1, []string{"a", "b", "c"}[n%3])
		e.CacheUsed = 30000 + random.IntN(50000)
		engines = append(engines, e)
	}
	received := make([]int, len(engines))
	for range gates * perGate {
		ranked := append([]Engine(nil), engines...)
		for i := range ranked {
			ranked[i].Rank = random.Uint64()
		}
		index, ok := Choose(Run{Tokens: tokens, Duration: time.Second}, engine(0, "a"), ranked)
		is.True(ok)
		received[index] += tokens
	}
	for i, e := range engines {
		is.True(received[i] == 0 || e.CacheUsed+received[i] <= 90000)
	}
}

// What follows when a stream has broken off, for each moment of the table in docs/design/backups.md.
func TestDecisionsAfterALoss(t *testing.T) {
	whole := Loss{Copy: Arrived, Source: Ended, Left: 5 * time.Second, Usable: true, SameWeights: true, SameSoftware: true}
	for _, test := range []struct {
		name string
		edit func(*Loss)
		want Verdict
	}{
		{"crashed", func(*Loss) {}, Continue{}},
		{"no copy had arrived", func(l *Loss) { l.Copy = NoCopyLeft }, GiveUp{NoCopy}},
		{"the copy is on its way", func(l *Loss) { l.Copy = OnItsWay }, Wait{}},
		{"the server accepts connections", func(l *Loss) { l.Source = Running }, GiveUp{SourceRunning}},
		{"the server is silent", func(l *Loss) { l.Source = Silent }, Wait{}},
		{"silent for too long", func(l *Loss) { l.Source, l.Waited = Silent, 2*time.Second }, GiveUp{SourceRunning}},
		{"known to have ended late", func(l *Loss) { l.Waited = 2 * time.Second }, Continue{}},
		{"no time left", func(l *Loss) { l.Left = 0 }, GiveUp{NoTime}},
		{"events without IDs", func(l *Loss) { l.Unnumbered = true }, GiveUp{NoEventID}},
		{"servers crash on it", func(l *Loss) { l.Blamed = true }, GiveUp{Blamed}},
		{"weights changed in the run", func(l *Loss) { l.WeightsChanged = true }, GiveUp{WeightsChanged}},
		{"weights changed at the backup's engine", func(l *Loss) { l.SameWeights = false }, GiveUp{WeightsChanged}},
		{"other software", func(l *Loss) { l.SameSoftware = false }, GiveUp{SoftwareDiffer}},
		{"both lost", func(l *Loss) { l.Usable = false }, GiveUp{EngineLost}},
		{"both lost, the first one silent", func(l *Loss) { l.Source, l.Usable = Silent, false }, GiveUp{EngineLost}},
	} {
		t.Run(test.name, func(t *testing.T) {
			loss := whole
			test.edit(&loss)
			is.New(t).Equal(Decide(loss), test.want)
		})
	}
}

// A run goes on only at an engine of the same weights and software, after its server has ended.
func TestRunNeverGoesOnBesideItsServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Loss{
			Copy: CopyState(rapid.IntRange(0, 2).Draw(t, "copy")), Source: SourceState(rapid.IntRange(0, 2).Draw(t, "source")),
			Waited: time.Duration(rapid.IntRange(0, 3000).Draw(t, "waited")) * time.Millisecond, Left: time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left")) * time.Millisecond,
			Blamed: rapid.Bool().Draw(t, "blamed"), Unnumbered: rapid.Bool().Draw(t, "unnumbered"), WeightsChanged: rapid.Bool().Draw(t, "changed"), Usable: rapid.Bool().Draw(t, "usable"),
			SameWeights: rapid.Bool().Draw(t, "weights"), SameSoftware: rapid.Bool().Draw(t, "software"),
		}
		if _, ok := Decide(l).(Continue); ok && (l.Source != Ended || l.Copy != Arrived || l.Blamed || l.Unnumbered || l.WeightsChanged || !l.Usable || !l.SameWeights || !l.SameSoftware || l.Left <= 0) {
			t.Fatalf("goes on: %+v", l)
		}
	})
}

func TestDurationsFollowAnswers(t *testing.T) {
	is := is.New(t)
	d := NewDurations()
	is.Equal(d.Expect("r", 50), time.Second)
	for range 400 {
		d.Observe("r", 50, 2*time.Second)
		d.Observe("r", 0, time.Hour)
	}
	is.True(d.Expect("r", 50) > 1900*time.Millisecond)
	for range 1000 {
		d.Observe("r", 50, time.Second)
	}
	is.True(d.Expect("r", 50) < 1100*time.Millisecond)
	is.Equal(d.Expect("other", 50), time.Second)
}
