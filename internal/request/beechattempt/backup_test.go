package beechattempt

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	backupFixture struct {
		*fixture
		observed *endings
		probes   *probes
		runTime  time.Duration // for which a run goes on after its first events
	}

	readerFunc func([]byte) (int, error)

	// probes answer probes of servers: nil, ECONNREFUSED, or a time-out if there is no entry.
	probes struct {
		mu      sync.Mutex
		results map[netip.AddrPort]error
	}
)

const (
	backupModel = "m"
	// runTime is longer than keepers' reports may be late.
	runTime = 1100 * time.Millisecond
)

var errSilent = errors.New("i/o timeout")

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

func (p *probes) Probe(_ context.Context, peer netip.AddrPort) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err, ok := p.results[peer]; ok {
		return err
	}
	return errSilent
}

func (p *probes) set(peer netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[peer] = err
}

// newBackupFixture returns a fixture with three engines that have memory to spare.
func newBackupFixture(script ...step) *backupFixture {
	f := &backupFixture{newFixture(3, 5, script...), &endings{}, &probes{results: make(map[netip.AddrPort]error)}, runTime}
	for i := range f.servers {
		f.servers[i].Weights, f.servers[i].Born = map[string]uint64{backupModel: 1}, 1
	}
	f.placer.SetServers(f.servers)
	f.placer.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{"app": {Name: "app", CopiesRuns: true, TokenBytes: 131072, LinkRate: 10e6}}})
	for _, s := range f.servers {
		f.report(s, 1, 1)
	}
	f.dispatcher.SetBackups(beechbackup.On)
	f.dispatcher.observer = f.observed
	f.dispatcher.crashes.prober, f.dispatcher.survivals = f.probes, beechsurvival.New(lifetimes{f.placer, f.backend, f.probes}, f.clock)
	return f
}

// report is a keeper's report of an engine.
func (f *backupFixture) report(s beechcall.Server, born, weights uint64) {
	f.placer.UpdateState(beechplace.State{
		Number: uint32(f.clock.Now().UnixMilli()), Address: s.Address, Born: born, Weights: map[string]uint64{backupModel: weights}, CacheUsed: 1000, CacheTotal: 100000,
	})
}

// enginesCrash has the engines' keepers report crashes, and then new lifetimes.
func (f *backupFixture) enginesCrash() {
	for i, s := range f.servers {
		f.placer.UpdateState(beechplace.State{Number: uint32(f.clock.Now().UnixMilli()), Address: s.Address, Phase: beechrollout.Down})
		f.servers[i].Born = s.Born + 1 // they write their entries again
		f.report(s, s.Born+1, 1)
	}
	f.placer.SetServers(f.servers)
}

// run answers a stream that may not be repeated.
func (f *backupFixture) run(t *testing.T) (*caller, Result) {
	call := f.call(beechcall.AtMostOnce, true)
	call.Model, call.PromptTokens, call.OutputTokens, call.Route.MaxAttempts = backupModel, 800, 120, 1
	c := f.serve(t.Context(), call)
	f.dispatcher.Wait(context.Background())
	return c, f.observed.results[0]
}

// crashes returns the beginning of an answer whose server crashes, as its keeper notices.
func (f *backupFixture) crashes(body string, then ...func()) step {
	attempt := len(f.backend.sent)
	exits := func() {
		f.placer.UpdateState(beechplace.State{
			Number: uint32(f.clock.Now().UnixMilli()), Address: f.backend.sent[attempt].Server.Address, Born: 1, Weights: map[string]uint64{backupModel: 1}, Phase: beechrollout.Exited,
		})
	}
	return f.ends(body, syscall.ECONNREFUSED, append([]func(){exits}, then...)...)
}

// ends returns the beginning of an answer that breaks off, and what a probe of its server gives then.
func (f *backupFixture) ends(body string, probe error, then ...func()) step {
	return func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		if !errors.Is(probe, errSilent) {
			f.probes.set(a.Server.Address, probe)
		}
		rest := readerFunc(func([]byte) (int, error) {
			f.dispatcher.Wait(context.Background())
			if f.runTime > 0 {
				f.clock.Advance(f.runTime)
				f.report(a.Server, a.Server.Born, 1) // keepers report all the while
			}
			for _, act := range then {
				act()
			}
			return 0, errReset
		})
		var events []io.Reader // each arrives by itself
		for _, event := range strings.SplitAfter(body, "\n\n") {
			events = append(events, strings.NewReader(event))
		}
		return &beechcall.Answer{
			Status: http.StatusOK, Header: http.Header{"Seal": {"first"}}, WeightsLine: []byte("weights:"),
			Body: io.NopCloser(io.MultiReader(append(events, rest)...)),
		}, nil
	}
}

// leaving has a server say with its answer that it leaves.
func leaving(answer step) step {
	return func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		r, err := answer(ctx, a)
		r.Leaving = true
		return r, err
	}
}

// sourceLeaves has the entry of the first server say that it leaves.
func (f *backupFixture) sourceLeaves() {
	servers := slices.Clone(f.servers)
	for i := range servers {
		servers[i].Leaving = servers[i].ID == f.backend.sent[0].Server.ID
	}
	f.placer.SetServers(servers)
}

// sourceUnlisted has the entry of the first server vanish.
func (f *backupFixture) sourceUnlisted() {
	f.placer.SetServers(slices.DeleteFunc(slices.Clone(f.servers), func(s beechcall.Server) bool { return s.ID == f.backend.sent[0].Server.ID }))
}

// sourceWeights changes the weights in the entry of the first server.
func (f *backupFixture) sourceWeights(weights uint64) {
	f.servers = slices.Clone(f.servers)
	for i := range f.servers {
		if f.servers[i].ID == f.backend.sent[0].Server.ID {
			f.servers[i].Weights = map[string]uint64{backupModel: weights}
		}
	}
}

// setScript replaces the script, which may refer to the fixture.
func (f *backupFixture) setScript(script ...step) { f.backend.script = script }

// backupEngine returns the engine that got a copy.
func (f *backupFixture) backupEngine() beechcall.Server {
	i := slices.IndexFunc(f.servers, func(s beechcall.Server) bool { return s.Address == f.backend.copiedTo[0] })
	return f.servers[i]
}

// freed asserts that the only copy was freed.
func (f *backupFixture) freed(t *testing.T) {
	t.Helper()
	is.New(t).Equal(f.backend.dropped, []string{f.backend.copiedTo[0].String() + "/copy-id"})
}

// notContinued asserts that a stream was broken off after its first attempt.
func notContinued(t *testing.T, f *backupFixture, c *caller, result Result, reason beechbackup.Reason) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(f.backend.sent), 1)
	is.True(c.broken)
	is.Equal(c.rejection, nil)
	is.Equal(result.Backup.Reason, reason)
	is.True(!result.Backup.Used)
}

// A server crashes in the middle of a stream.
func TestRunGoesOnAtItsBackup(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	f.setScript(f.crashes(event(1)+event(2)+"id: 3\nda"), answers(http.StatusOK, event(3)+event(4)))
	c, result := f.run(t)
	is.Equal(c.body, event(1)+event(2)+event(3)+event(4))
	is.Equal(c.header.Get("Seal"), "first")
	is.True(c.ended)
	is.Equal(len(f.backend.sent), 2)
	first, second := f.backend.sent[0], f.backend.sent[1]
	is.Equal(first.Copy, beechcall.CopyName{})
	is.Equal(len(f.backend.copiedTo), 1)
	is.True(f.backend.copiedTo[0] != first.Server.Address)
	is.Equal(second.Server.Address, f.backend.copiedTo[0])
	is.Equal(second.Copy, beechcall.CopyName{Source: first.Server.Address, Handle: "copy-id"})
	is.Equal(second.LastEventID, "2")
	is.Equal(second.Weights, first.Weights)
	is.Equal(second.Salt, first.Salt)
	is.True(result.Backup.Used && result.Backup.Whole)
	is.Equal(len(f.backend.dropped), 0)
}

// A server crashes before the first event. There is no copy yet.
func TestRunDoesNotGoOnBeforeItsFirstEvent(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	f.setScript(f.crashes(""), answers(http.StatusOK, event(1)))
	c, result := f.run(t)
	is.Equal(len(f.backend.sent), 1)
	is.Equal(len(f.backend.copiedTo), 0)
	is.Equal(c.rejection, OutcomeUnknown{Reason: "no more tries"})
	is.Equal(result.Backup, BackupResult{})
}

// The server crashes before the copy has arrived.
func TestRunWithoutACopyDoesNotGoOn(t *testing.T) {
	f := newBackupFixture()
	f.backend.noCopies = true
	f.setScript(f.crashes(event(1)), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.NoCopy)
	is.New(t).Equal(len(f.backend.dropped), 0)
}

// The connection breaks, and the server still accepts others: it may be at work.
func TestRunDoesNotGoOnWhileItsServerRuns(t *testing.T) {
	f := newBackupFixture()
	f.setScript(f.ends(event(1), nil), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.SourceRunning)
	f.freed(t)
}

// The connection breaks and nothing answers: a broken link looks the same.
func TestRunDoesNotGoOnWhileItsServerIsSilent(t *testing.T) {
	f := newBackupFixture()
	f.setScript(f.ends(event(1), errSilent), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.SourceRunning)
}

// Guards against a run at two servers when a partition refuses connections to the first one, which runs on.
func TestRunDoesNotGoOnWhileOnlyItsPathRefuses(t *testing.T) {
	for name, news := range map[string]func(f *backupFixture){
		"nothing is heard of it": func(*backupFixture) {},
		"its keeper sees it run": func(f *backupFixture) { f.report(f.backend.sent[0].Server, 1, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture()
			f.setScript(f.ends(event(1), syscall.ECONNREFUSED, func() { news(f) }), answers(http.StatusOK, event(2)))
			c, result := f.run(t)
			notContinued(t, f, c, result, beechbackup.SourceRunning)
			f.freed(t)
		})
	}
}

// Guards against a run at two servers when the later lifetime that the gate hears of is the one that runs the request.
func TestRunDoesNotGoOnAtLateNewsOfItsOwnLifetime(t *testing.T) {
	for name, probe := range map[string]error{"accepts connections": nil, "refuses connections": syscall.ECONNREFUSED, "is silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture()
			f.runTime = 0
			lateNews := func() { f.report(f.backend.sent[0].Server, 2, 1) }
			f.setScript(f.ends(event(1), probe, lateNews), answers(http.StatusOK, event(2)))
			c, result := f.run(t)
			notContinued(t, f, c, result, beechbackup.SourceRunning)
			f.freed(t)
		})
	}
}

// A silent server turns out to have started again under its ID.
func TestRunGoesOnWhenItsServerHasRestarted(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	restart := func() { f.report(f.backend.sent[0].Server, 2, 1) }
	f.setScript(f.ends(event(1), errSilent, restart), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	is.Equal(c.body, event(1)+event(2))
	is.True(result.Backup.Whole)
}

// A server that leaves finishes its answers while it refuses connections: the run would be at two.
func TestRunDoesNotGoOnWhileItsServerLeaves(t *testing.T) {
	for name, script := range map[string]func(*backupFixture) step{
		"by its answer":   func(f *backupFixture) step { return leaving(f.crashes(event(1))) },
		"by its entry":    func(f *backupFixture) step { return f.crashes(event(1), f.sourceLeaves) },
		"no longer known": func(f *backupFixture) step { return f.crashes(event(1), f.sourceUnlisted) },
		"by its answer, without an entry": func(f *backupFixture) step {
			return leaving(f.crashes(event(1), f.sourceUnlisted, func() { f.placer.SetServers(f.servers) }))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture()
			f.setScript(script(f), answers(http.StatusOK, event(2)))
			c, result := f.run(t)
			notContinued(t, f, c, result, beechbackup.SourceRunning)
			f.freed(t)
		})
	}
}

// A server that left has started again under its ID: its earlier lifetime has ended.
func TestRunGoesOnWhenALeavingServerHasRestarted(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	restart := func() { f.report(f.backend.sent[0].Server, 2, 1) }
	f.setScript(leaving(f.crashes(event(1), restart)), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	is.Equal(c.body, event(1)+event(2))
	is.True(result.Backup.Whole)
}

// The backup's engine refuses, as its copy was used or has expired, with its word that the request has
// not run there or without. The request is not sent anywhere else, and its caller sees a broken stream.
func TestCopyIsGoneAtTheBackup(t *testing.T) {
	for _, refusal := range []step{refuses, answers(http.StatusServiceUnavailable, "")} {
		is := is.New(t)
		f := newBackupFixture()
		f.setScript(f.crashes(event(1)), refusal, answers(http.StatusOK, event(2)))
		c, result := f.run(t)
		is.Equal(len(f.backend.sent), 2)
		is.True(c.broken)
		is.Equal(c.rejection, nil)
		is.True(!result.Backup.Whole)
		is.Equal(len(f.backend.dropped), 0)
	}
}

func TestBothServersLost(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	f.setScript(f.crashes(event(1)), unreachable, answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	is.Equal(len(f.backend.sent), 2)
	is.True(c.broken)
	is.Equal(result.Backup.Reason, beechbackup.EngineLost)
	is.True(!result.Backup.Used) // it was not sent there
	f.freed(t)
}

// The caller leaves after the decision to go on and before the run is sent to its backup's engine, whose
// copy would stay there, and would be counted as used.
func TestCallerLeavesBeforeItsRunGoesOn(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	c := &caller{}
	leaves := func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		c.departed.Store(true)
		is.True(a.Withdrawn())
		return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "send", Err: beechcall.ErrWithdrawn}
	}
	f.setScript(f.crashes(event(1)), leaves)
	call := f.call(beechcall.AtMostOnce, true)
	call.Model, call.PromptTokens, call.OutputTokens = backupModel, 800, 120
	f.serveTo(t.Context(), call, c)
	f.dispatcher.Wait(context.Background())
	result := f.observed.results[0]
	is.Equal(len(f.backend.sent), 2)
	is.Equal(result.Outcome, OutcomeLeft)
	is.True(!result.Backup.Used)
	f.freed(t)
}

// The caller leaves once the run was sent to its backup's engine: the copy is used up.
func TestCallerLeavesARunThatGoesOn(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	c := &caller{}
	leaves := func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		c.departed.Store(true)
		return nil, beechcall.OutcomeUnknown{Peer: a.Server.Address, Step: "read answer", Err: errReset}
	}
	f.setScript(f.crashes(event(1)), leaves)
	call := f.call(beechcall.AtMostOnce, true)
	call.Model, call.PromptTokens, call.OutputTokens = backupModel, 800, 120
	f.serveTo(t.Context(), call, c)
	f.dispatcher.Wait(context.Background())
	result := f.observed.results[0]
	is.Equal(result.Outcome, OutcomeLeft)
	is.True(result.Backup.Used && !result.Backup.Whole)
	is.Equal(len(f.backend.dropped), 0)
}

// Guards against a run that goes on with the memory of another, as an engine answered twice when it made that one's copy.
func TestRunDoesNotGoOnWithTheCopyOfAnother(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	f.backend.handle = "same"
	for _, s := range f.servers {
		f.dispatcher.copyNames.claim(beechcall.CopyName{Source: s.Address, Handle: "same"}, "other")
	}
	f.setScript(f.crashes(event(1)), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.NoCopy)
	is.Equal(len(f.backend.dropped), 0) // it is the other one's

	names := newCopyNames(f.clock)
	name := beechcall.CopyName{Handle: "h"}
	is.True(names.claim(name, "a"))
	is.True(names.claim(name, "a"))
	is.True(!names.claim(name, "b"))
	f.clock.Advance(copyNameLifetime)
	is.True(names.claim(name, "b"))
}

// The backup's engine crashes too: a copy can be used once.
func TestCopyIsUsedOnce(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	f.setScript(f.crashes(event(1)), f.crashes(event(2)), answers(http.StatusOK, event(3)))
	c, result := f.run(t)
	is.Equal(len(f.backend.sent), 2)
	is.Equal(c.body, event(1)+event(2))
	is.True(c.broken)
	is.Equal(result.Backup.Reason, beechbackup.LostAgain)
	is.Equal(len(f.backend.dropped), 0)
}

// The backup's engine has loaded other weights meanwhile, as its keeper says or as it says itself.
func TestRunDoesNotGoOnAtOtherWeights(t *testing.T) {
	f := newBackupFixture()
	load := func() { f.report(f.backupEngine(), 1, 2) }
	f.setScript(f.crashes(event(1), load), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.WeightsChanged)

	f = newBackupFixture()
	f.setScript(f.crashes(event(1)), func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		return nil, beechcall.NotExecuted{Peer: a.Server.Address, Status: http.StatusMisdirectedRequest, WeightsDiffer: true, Weights: 2}
	})
	c, result = f.run(t)
	is.New(t).True(c.broken)
	is.New(t).Equal(result.Backup.Reason, beechbackup.WeightsChanged)
	is.New(t).Equal(len(f.backend.sent), 2)
}

// The weights were changed under the run: the copy holds tokens of both.
func TestRunOfChangedWeightsDoesNotGoOn(t *testing.T) {
	f := newBackupFixture()
	f.setScript(f.crashes(event(1)+"weights: 2\n"+event(2)), answers(http.StatusOK, event(3)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.WeightsChanged)
}

// The weights were changed under the run, and its server crashed before it told so in the stream. Its
// keeper did, even if the next lifetime is known by now, or it told with another answer.
func TestRunOfUntoldChangedWeightsDoesNotGoOn(t *testing.T) {
	source := func(f *backupFixture) beechcall.Server { return f.backend.sent[0].Server }
	for name, change := range map[string]func(*backupFixture){
		"by its keeper":        func(f *backupFixture) { f.report(source(f), 1, 2) },
		"by another answer":    func(f *backupFixture) { f.placer.ObserveVersion(source(f).ID, backupModel, 2) },
		"by its entry":         func(f *backupFixture) { f.sourceWeights(2); f.placer.SetServers(f.servers) },
		"and it has restarted": func(f *backupFixture) { f.report(source(f), 1, 2); f.report(source(f), 2, 1) },
		"and it was listed anew": func(f *backupFixture) {
			f.sourceUnlisted()
			f.sourceWeights(2)
			f.placer.SetServers(f.servers)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture()
			f.setScript(f.crashes(event(1), func() { change(f) }), answers(http.StatusOK, event(2)))
			c, result := f.run(t)
			notContinued(t, f, c, result, beechbackup.WeightsChanged)
			f.freed(t)
		})
	}
}

// The next lifetime of the run's server has other weights: this says nothing of the run.
func TestRunGoesOnWhenItsServerRestartsWithOtherWeights(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	restart := func() { f.report(f.backend.sent[0].Server, 2, 2) }
	f.setScript(f.crashes(event(1), restart), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	is.Equal(c.body, event(1)+event(2))
	is.True(result.Backup.Whole)
}

// Events without IDs: without a place to go on after, the caller would get them twice.
func TestRunWithoutEventIDsDoesNotGoOn(t *testing.T) {
	for name, body := range map[string]string{
		"none":     "data: x\n\n",
		"an empty": event(1) + "id:\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture()
			f.setScript(f.crashes(body), answers(http.StatusOK, event(2)))
			c, result := f.run(t)
			notContinued(t, f, c, result, beechbackup.NoEventID)
			f.freed(t)
		})
	}
}

// The backup's engine has got other software under its ID.
func TestRunDoesNotGoOnAtOtherSoftware(t *testing.T) {
	f := newBackupFixture()
	f.setScript(f.crashes(event(1), func() { f.setSoftware("v2") }), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.SoftwareDiffer)
}

// The backup's engine has started again under its ID, without the copy.
func TestRunDoesNotGoOnAtARestartedEngine(t *testing.T) {
	f := newBackupFixture()
	restart := func() { f.report(f.backupEngine(), 2, 1) }
	f.setScript(f.crashes(event(1), restart), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.EngineLost)
}

func TestRunDoesNotGoOnWithoutRetryBudget(t *testing.T) {
	f := newBackupFixture()
	f.budget.left = 0
	f.setScript(f.crashes(event(1)), answers(http.StatusOK, event(2)))
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.NoBudget)
}

// The request has crashed a server before.
func TestRunThatCrashesServersDoesNotGoOn(t *testing.T) {
	f := newBackupFixture()
	f.setScript(f.crashes(event(1)), answers(http.StatusOK, event(2)))
	call := f.call(beechcall.AtMostOnce, true)
	f.suspects.RecordCrash([]uint64{call.Fingerprint()})
	c, result := f.run(t)
	notContinued(t, f, c, result, beechbackup.Blamed)
}

// The caller leaves while the run is at its first server: nothing goes on, and the copy is freed.
func TestCallerLeavesARunWithABackup(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	c := &caller{}
	f.setScript(f.crashes(event(1), func() { c.departed.Store(true) }), answers(http.StatusOK, event(2)))
	call := f.call(beechcall.AtMostOnce, true)
	call.Model, call.PromptTokens, call.OutputTokens = backupModel, 800, 120
	f.dispatcher.Serve(t.Context(), call, c)
	f.dispatcher.Wait(context.Background())
	is.Equal(len(f.backend.sent), 1)
	is.Equal(f.observed.results[0].Outcome, OutcomeLeft)
	f.freed(t)
}

// The caller leaves while it is looked whether the server has ended.
func TestCallerLeavesWhileItsRunIsLost(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture()
	f.setScript(f.ends(event(1), errSilent), answers(http.StatusOK, event(2)))
	call := f.call(beechcall.AtMostOnce, true)
	call.Model, call.PromptTokens, call.OutputTokens = backupModel, 800, 120
	_, result := f.serveUntil(t, call, 100*time.Millisecond)
	is.Equal(len(f.backend.sent), 1)
	is.Equal(result.Outcome, OutcomeLeft)
}

// The first server has not run the request: the run at the next one is copied, elsewhere.
func TestBackupFollowsTheAttempt(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture(refuses, answers(http.StatusOK, event(1)))
	c, result := f.run(t)
	is.True(c.ended)
	is.Equal(len(f.backend.copiedTo), 1)
	is.True(f.backend.copiedTo[0] != f.backend.sent[1].Server.Address)
	is.True(!result.Backup.Used)
	f.freed(t)
}

// Engines do not tell how slow their hosts are, or operators do not want backups: attempts are as
// without backups.
func TestNoBackupsWhereTheyDoNotApply(t *testing.T) {
	is := is.New(t)
	for _, mode := range []beechbackup.Mode{beechbackup.Auto, beechbackup.Off} {
		f := newBackupFixture()
		f.dispatcher.SetBackups(mode)
		f.setScript(f.crashes(event(1)), answers(http.StatusOK, event(2)))
		c, result := f.run(t)
		is.True(c.broken)
		is.Equal(len(f.backend.sent), 1)
		is.Equal(len(f.backend.copiedTo), 0)
		is.Equal(result.Backup, BackupResult{})
		is.Equal(result.Stop, string(stopNotRepeatable))
	}
}

// Auto begins when engines have told how slow their hosts are, and crash.
func TestBackupsBeginWhenSlownessIsTold(t *testing.T) {
	is := is.New(t)
	tells := func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(event(1))), Load: beechcall.Load{Known: true, Slots: 8, Slowness: 100}}, nil
	}
	f := newBackupFixture(tells)
	f.dispatcher.SetBackups(beechbackup.Auto)
	f.run(t)
	is.Equal(len(f.backend.copiedTo), 0) // engines have not crashed lately
	f.enginesCrash()
	f.clock.Advance(2 * time.Second)
	f.enginesCrash()
	f.run(t)
	is.Equal(len(f.backend.copiedTo), 1)

	f = newBackupFixture(answers(http.StatusOK, event(1)))
	f.dispatcher.SetBackups(beechbackup.Auto)
	f.enginesCrash()
	f.clock.Advance(2 * time.Second)
	f.enginesCrash()
	f.run(t)
	f.run(t)
	is.Equal(len(f.backend.copiedTo), 0)
}

// A gate that stops ends its process while copies still have to be freed, and they lie at their engines
// until they expire.
func TestWaitUntilCopiesAreFreed(t *testing.T) {
	is := is.New(t)
	f := newBackupFixture(answers(http.StatusOK, event(1)))
	f.backend.dropsHeld = make(chan struct{})
	call := f.call(beechcall.AtMostOnce, true)
	call.Model, call.PromptTokens, call.OutputTokens = backupModel, 800, 120
	f.dispatcher.Wait(t.Context()) // nothing to wait for
	f.serve(t.Context(), call)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	f.dispatcher.Wait(ended) // no longer than the process may
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		f.dispatcher.Wait(t.Context())
	}()
	select {
	case <-waited:
		t.Fatal("the copy is not freed yet")
	case <-time.After(20 * time.Millisecond):
	}
	close(f.backend.dropsHeld)
	<-waited
	is.Equal(len(f.backend.dropped), 1)
	f.freed(t)
}

// Calls that begin and end while a gate stops.
func TestWaitWhileCopiesBegin(t *testing.T) {
	is := is.New(t)
	var c backgroundCalls
	var made atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 200 {
				c.Go(func() { made.Add(1) })
				<-c.ended()
			}
		})
	}
	callers.Wait()
	<-c.ended()
	is.Equal(made.Load(), int64(1600))
}
