package beechscenario

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechcrowd"
)

const (
	crowdMemory     = 160     // MB of the entry host under test
	agentMemory     = 96      // MB of the agent under test
	crowdBody       = 4 << 20 // bytes, the limit of bodies
	crowdClients    = 48
	ordinaryBody    = 1 << 10
	steadyBody      = 256 << 10 // of a caller that sends steadily
	steadyPause     = 10 * time.Millisecond
	crowdTurnLimit  = 10 * time.Second       // for a crowd to do what it wants to
	crowdStay       = 500 * time.Millisecond // for which it stays then
	patientLimit    = 30 * time.Second       // for a caller that comes again as it is told
	servicePath     = "/v1/services/shipping/anything"
	completionsPath = "/v1/chat/completions"
	promptBefore    = `{"model":"fit-advisor","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"`
	promptAfter     = `"}]}`
)

// crowdCase is a crowd at an entry host.
type crowdCase struct {
	name        string // of the case; empty: that of the form
	form        string
	completions bool   // the crowd asks for completions; otherwise it calls the service
	clients     int    // 0: crowdClients
	key         string // of the crowd; empty: that of an ordinary caller
	memory      int    // MB of the process under test
	descriptors int    // of the entry host; 0: not told
}

// crowdDeployment is an entry host, an engine and a service with their agents.
type crowdDeployment struct {
	*deployment
	entry netip.AddrPort
}

// TestCrowdsAtEntryHost guards against clients whose requests together take more memory or descriptors than the
// entry host has, or all that ordinary callers need. It needs a machine without other load.
func TestCrowdsAtEntryHost(t *testing.T) {
	for _, c := range []crowdCase{
		{form: "length"},
		{form: "chunks"},
		{form: "small-chunks"},
		{form: "whole", completions: true},
		{form: "announced"},
		{form: "endless"},
		{form: "heads", clients: 800},
		{form: "kept"},
		{form: "mixed"},
		{form: "idle", clients: 400, descriptors: 256},
		{name: "trickle-descriptors", form: "trickle", clients: 400, descriptors: 256},
		{name: "short-descriptors", form: "short", clients: 400, descriptors: 256},
		{name: "unknown-key", form: "short", key: "nobody's key", clients: 400, descriptors: 256},
	} {
		c.memory = crowdMemory
		if c.name == "" {
			c.name = c.form
		}
		t.Run(c.name, func(t *testing.T) {
			newCrowdDeployment(t, func(settings any) {
				if entry, ok := settings.(*beechsettings.Entry); ok {
					entry.Memory, entry.Descriptors = c.memory, c.descriptors
				}
			}).endure(c, "n1")
		})
	}
}

// TestCrowdsAtAgent guards against bodies that together take more memory than an agent has, though entry hosts that
// have more memory have passed each of them on.
func TestCrowdsAtAgent(t *testing.T) {
	c := crowdCase{form: "whole", completions: true, memory: agentMemory}
	newCrowdDeployment(t, func(settings any) {
		if agent, ok := settings.(*beechsettings.Agent); ok {
			agent.Memory = c.memory
		}
	}).endure(c, "e1")
}

func newCrowdDeployment(t *testing.T, adjust func(settings any)) *crowdDeployment {
	t.Helper()
	is := is.New(t)
	t.Setenv("GOMAXPROCS", "1")
	d := newDeployment(t, t.TempDir())
	t.Cleanup(d.close)
	d.adjust = func(settings any) {
		if entry, ok := settings.(*beechsettings.Entry); ok {
			entry.Limits.BodyBytes, entry.Limits.BodyTime = crowdBody, beechsettings.Duration(10*time.Second)
		}
		adjust(settings)
	}
	is.NoErr(commandPlatform(d, nil))
	is.NoErr(commandEngine(d, []string{"e1", "zone-a", "--slots", "64", "--prefill-rate", "200000"}))
	is.NoErr(commandService(d, []string{"s1", "zone-a"}))
	is.NoErr(commandEntry(d, []string{"n1", "zone-a"}))
	is.NoErr(commandUntil(d, []string{"serving", "n1", "2"}))
	is.NoErr(commandUntil(d, []string{"ready", "n1"}))
	return &crowdDeployment{deployment: d, entry: d.processes["n1"].address}
}

// endure has a crowd come, and checks what callers and the process under test must not lose.
func (d *crowdDeployment) endure(c crowdCase, name string) {
	t, is := d.t, is.New(d.t.(*testing.T))
	p := d.processes[name]
	observed := p.address
	observation := beechcrowd.Observe(p.command.Process.Pid, observed)
	crowd := d.call(c)
	ordinary, steady := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), patientLimit)
	defer cancel()
	go func() { ordinary <- d.caller("loop-key", ordinaryBody, 0).AskPatiently(ctx) }()
	go func() { steady <- d.caller("solis-key", steadyBody, steadyPause).AskPatiently(ctx) }()
	crowd.AwaitTurns(crowdTurnLimit)
	time.Sleep(crowdStay)
	ordinaryErr, steadyErr := <-ordinary, <-steady
	t.Logf("during the crowd: ordinary %v, steady %v, %+v, %s", ordinaryErr, steadyErr, crowd.Counts(), observation.Now())
	crowd.Stop()
	afterErr := d.caller("loop-key", ordinaryBody, 0).AskPatiently(ctx)
	largestErr := d.caller("loop-key", crowdBody, 0).AskPatiently(ctx)
	used, err := observation.End()
	t.Logf("%s; after it: ordinary %v, largest %v", used, afterErr, largestErr)
	for _, p := range d.processes {
		select {
		case <-p.ended:
			t.Errorf("%s has ended: %v", p.name, p.err)
		default:
		}
	}
	is.NoErr(err)
	is.NoErr(ordinaryErr)
	is.NoErr(steadyErr)
	is.NoErr(afterErr)
	is.NoErr(largestErr)
	is.True(used.Resident+used.Unread < int64(c.memory)<<20)
	if c.descriptors > 0 {
		is.True(used.Descriptors < c.descriptors)
	}
}

// call starts the crowd.
func (d *crowdDeployment) call(c crowdCase) *beechcrowd.Crowd {
	d.t.Helper()
	s := beechcrowd.Settings{
		Form: c.form, Clients: crowdClients, Address: d.entry, Path: servicePath, BodyBytes: crowdBody,
		Header: func(int) http.Header {
			return http.Header{"Authorization": {"Bearer " + cmp.Or(c.key, "loop-key")}, "Content-Type": {"application/json"}}
		},
	}
	if c.completions {
		s.Path, s.Before, s.After = completionsPath, promptBefore, promptAfter
	}
	if c.clients > 0 {
		s.Clients = c.clients
	}
	crowd, err := beechcrowd.New(s)
	if err != nil {
		d.t.Fatal(err)
	}
	return crowd
}

// caller returns a caller of the service that behaves.
func (d *crowdDeployment) caller(key string, size int, pause time.Duration) beechcrowd.Caller {
	return beechcrowd.Caller{
		Address: d.entry, Host: "entry", Path: servicePath, Bytes: size, Pause: pause,
		Header: func() http.Header { return http.Header{"Authorization": {"Bearer " + key}} },
	}
}
