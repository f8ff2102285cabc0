package beechscenario

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/state/beechmanifest"
)

// platform starts the platform's service and puts the usual manifest in force.
func commandPlatform(w *world, arguments []string) error {
	if _, err := w.startStandin("platform", "platform", arguments); err != nil {
		return err
	}
	file := filepath.Join(w.dir, "usual.json")
	data, err := beechmanifest.Encode(usualManifest())
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	return commandApply(w, []string{"usual.json"})
}

func usualManifest() *beechmanifest.Manifest {
	return &beechmanifest.Manifest{
		Deployment: "scenario",
		Targets:    beechmanifest.Targets{FirstToken: beechmanifest.Duration(time.Second), Share: 0.95, WasteWeight: 1, MaxLoads: 2},
		Models:     []beechmanifest.Model{{Name: "fit-advisor", Weights: "1"}},
		Priorities: []string{"interactive", "background"},
		Workspaces: []beechmanifest.Workspace{
			{Name: "loop", Keys: []string{sumOf("loop-key")}, Priority: "interactive", Weight: 1},
			{Name: "solis", Keys: []string{sumOf("solis-key")}, Priority: "interactive", Weight: 1},
		},
		Pools: []beechmanifest.Pool{
			{Name: "advisors", Kind: beechmanifest.KindEngine, Fenced: true, Models: []string{"fit-advisor"}, Slots: 8},
			{Name: "shipping", Kind: beechmanifest.KindService, Service: "shipping", Slots: 64},
		},
		Services: []beechmanifest.Service{{Name: "shipping", Once: []beechmanifest.OnceRule{
			{Method: "POST", Path: "/shipments"}, {Method: "POST", Path: "/bookings"},
		}}},
	}
}

func sumOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// engine NAME ZONE [flags]: a stand-in NAME.engine and its agent NAME.
func commandEngine(w *world, arguments []string) error {
	if len(arguments) < 2 {
		return usage("engine NAME ZONE [flags]")
	}
	name, zone := arguments[0], arguments[1]
	flags := append([]string{
		"--models", "fit-advisor@1", "--slots", "8", "--prefill-rate", "20000", "--token-time", "5ms",
		"--cache-tokens", "200000", "--load-time", "100ms", "--check-fence",
	}, arguments[2:]...)
	engine, err := w.startStandin("engine", name+".engine", flags)
	if err != nil {
		return err
	}
	return w.startAgent(name, zone, "advisors", engine.address)
}

// service NAME ZONE [flags]: a stand-in NAME.service and its agent NAME.
func commandService(w *world, arguments []string) error {
	if len(arguments) < 2 {
		return usage("service NAME ZONE [flags]")
	}
	name, zone := arguments[0], arguments[1]
	service, err := w.startStandin("service", name+".service", arguments[2:])
	if err != nil {
		return err
	}
	return w.startAgent(name, zone, "shipping", service.address)
}

// agent NAME ZONE BACKEND: a further agent beside an engine's stand-in.
func commandAgent(w *world, arguments []string) error {
	if len(arguments) != 3 {
		return usage("agent NAME ZONE BACKEND")
	}
	p, err := w.process(arguments[2])
	if err != nil {
		return err
	}
	return w.startAgent(arguments[0], arguments[1], "advisors", p.address)
}

// entry NAME ZONE: an entry host.
func commandEntry(w *world, arguments []string) error {
	if len(arguments) != 2 {
		return usage("entry NAME ZONE")
	}
	return w.startEntry(arguments[0], arguments[1])
}

// seeds NAME...: agents that entries started later have in their settings.
func commandSeeds(w *world, arguments []string) error {
	for _, name := range arguments {
		for _, h := range w.hosts {
			if h.Name == name {
				w.seeds = append(w.seeds, h.Address)
			}
		}
	}
	return nil
}

// sigterm NAME... [&]: ends processes gracefully; each must exit with 0.
func commandTerminate(w *world, arguments []string) error {
	if arguments[len(arguments)-1] == "&" {
		return eachName(func(w *world, name string) error { return w.signal(name, syscall.SIGTERM) })(w, arguments[:len(arguments)-1])
	}
	return eachName((*world).stop)(w, arguments)
}
