package beechscenario

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	// silence makes a process or a link silent and lets it go on.
	silence struct {
		name  string
		begin func(r *resumeRun)
		end   func(r *resumeRun)
	}

	// change is something that happens while a process or a link is silent.
	change struct {
		name  string
		begin func(r *resumeRun)
		new   bool // whether new requests are accepted afterwards
	}
)

const (
	shortSilence = 1200 * time.Millisecond
	longSilence  = 1900 * time.Millisecond // the longest of a sound process or link
	readTime     = 1300 * time.Millisecond // for which a long prompt has been read before
	lateRequest  = 100 * time.Millisecond  // how long before the end of a silence a request is sent
)

func suspended(process string) silence {
	return silence{
		process,
		func(r *resumeRun) { r.do(eachName((*deployment).freeze), process) },
		func(r *resumeRun) { r.do(commands["thaw"], process) },
	}
}

func stalled(name string, directions ...direction) silence {
	each := func(r *resumeRun, do func(p *faultProxy)) {
		for _, agent := range []string{"e1", "s1"} {
			do(r.deployment.proxies[agent])
		}
	}
	return silence{
		name,
		func(r *resumeRun) { each(r, func(p *faultProxy) { p.stall(directions...) }) },
		func(r *resumeRun) { each(r, (*faultProxy).restore) },
	}
}

func terminated(names ...string) change {
	return change{"sigterm", func(r *resumeRun) {
		for _, name := range names {
			if err := r.deployment.signal(name, syscall.SIGTERM); err != nil {
				r.t.Fatal(err)
			}
		}
	}, false}
}

// TestSilenceEndsNoAnswer guards against answers that are given up since a process or a link was
// silent for a moment, when nothing else can give them.
func TestSilenceEndsNoAnswer(t *testing.T) {
	silences := []silence{
		suspended("e1.engine"),
		suspended("s1.service"),
		suspended("e1"),
		suspended("n1"),
		stalled("links", toProcess, fromProcess),
		stalled("links to agents", toProcess),
		stalled("links from agents", fromProcess),
	}
	changes := []change{
		{"nothing", func(*resumeRun) {}, true},
		{"configuration", func(r *resumeRun) { r.do(commandApply, "usual.json", "base=1") }, true},
		{"new weights", func(r *resumeRun) { r.applyChanged(func(m *beechmanifest.Manifest) { m.Models[0].Weights = "2" }) }, true},
		{"removed service", func(r *resumeRun) {
			r.applyChanged(func(m *beechmanifest.Manifest) { m.Services, m.Pools = nil, m.Pools[:1] })
		}, true},
		{"entry " + terminated().name, terminated("n1").begin, false},
		{"agents " + terminated().name, terminated("e1", "s1").begin, false},
	}
	for _, s := range silences {
		t.Run(s.name+" for "+shortSilence.String(), func(t *testing.T) {
			t.Parallel()
			silentBeside(t, s, changes[0], shortSilence)
		})
		for _, c := range changes {
			t.Run(s.name+" beside "+c.name+" for "+longSilence.String(), func(t *testing.T) {
				t.Parallel()
				silentBeside(t, s, c, longSilence)
			})
		}
	}
}

// applyChanged applies a changed manifest.
func (r *resumeRun) applyChanged(edit func(m *beechmanifest.Manifest)) {
	m := defaultManifest()
	edit(m)
	data, err := beechmanifest.Encode(m)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(r.deployment.dir, "changed.json"), data, 0o644); err != nil {
		r.t.Fatal(err)
	}
	r.do(commandApply, "changed.json", "base=1")
}

func silentBeside(t *testing.T, s silence, c change, length time.Duration) {
	d := newDeployment(t, beechtrace.Folder(t))
	defer d.close()
	r := &resumeRun{t: t, deployment: d}
	r.do(commandPlatform)
	r.do(commandEngine, "e1", "zone-a", "--prefill-rate", "2000")
	r.do(commandService, "s1", "zone-a", "--delay", "5s")
	r.do(commandEntry, "n1", "zone-a")
	r.do(commandUntil, "ready", "n1")
	r.do(commandUntil, "serving", "n1", "2")
	underWay := []string{"stream", "plain", "unread", "shipment"}
	r.do(commandSend, "stream", "entry=n1", "tokens=900", "prompt=stream", "&")
	r.do(commandSend, "plain", "entry=n1", "tokens=900", "prompt=plain", "stream=no", "&")
	r.do(commandUntil, "events", "stream", "5")
	r.do(commandSend, "unread", "entry=n1", "rows=9000", "prompt=unread", "&")
	r.do(commandSend, "shipment", "entry=n1", "service=shipping/shipments", `body={"parcel":1}`, "idem=shipment", "&")
	r.do(commandUntil, "shipped", "shipment")
	time.Sleep(readTime)
	s.begin(r)
	time.Sleep(length / 2)
	c.begin(r)
	if c.new {
		r.do(commandSend, "new", "entry=n1", "prompt=new", "&")
		underWay = append(underWay, "new")
	}
	time.Sleep(length/2 - lateRequest)
	if c.new {
		r.do(commandSend, "late", "entry=n1", "prompt=late", "&")
		underWay = append(underWay, "late")
	}
	time.Sleep(lateRequest)
	s.end(r)
	r.do(commandWait, underWay...)
	for _, name := range underWay {
		if err := commandExpect(d, []string{name, "status=200", "whole=yes"}); err != nil {
			t.Error(err)
		}
	}
	if c.new {
		r.do(commandSend, "after", "entry=n1", "prompt=after")
		r.do(commandExpect, "after", "status=200", "whole=yes")
	}
	r.do(commandHolds, "whole", "isolated", "once")
}
