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

// commandPlatform implements platform [flags]: starts the stand-in of the
// platform's service and applies the default manifest.
func commandPlatform(d *deployment, arguments []string) error {
	if _, err := d.startStandin("platform", "platform", arguments); err != nil {
		return err
	}
	file := filepath.Join(d.dir, "usual.json")
	data, err := beechmanifest.Encode(defaultManifest())
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	return commandApply(d, []string{"usual.json"})
}

func defaultManifest() *beechmanifest.Manifest {
	return &beechmanifest.Manifest{
		Deployment: "scenario",
		Targets:    beechmanifest.Targets{FirstToken: beechmanifest.Duration(time.Second), Share: 0.95, WasteWeight: 1, MaxLoads: 2},
		Models:     []beechmanifest.Model{{Name: "fit-advisor", Weights: "1"}},
		Priorities: []string{"interactive", "background"},
		Workspaces: []beechmanifest.Workspace{
			{Name: "loop", Keys: []string{keyHash("loop-key")}, Priority: "interactive", Weight: 1},
			{Name: "solis", Keys: []string{keyHash("solis-key")}, Priority: "interactive", Weight: 1},
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

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// commandEngine implements engine NAME ZONE [flags]: starts a stand-in NAME.engine
// and its agent NAME.
func commandEngine(d *deployment, arguments []string) error {
	if len(arguments) < 2 {
		return usage("engine NAME ZONE [flags]")
	}
	name, zone := arguments[0], arguments[1]
	flags := append([]string{
		"--models", "fit-advisor@1", "--slots", "8", "--prefill-rate", "20000", "--token-time", "5ms",
		"--cache-tokens", "200000", "--load-time", "100ms", "--check-fence",
	}, arguments[2:]...)
	engine, err := d.startStandin("engine", name+".engine", flags)
	if err != nil {
		return err
	}
	return d.startAgent(name, zone, "advisors", engine.address)
}

// commandService implements service NAME ZONE [flags]: starts a stand-in
// NAME.service and its agent NAME.
func commandService(d *deployment, arguments []string) error {
	if len(arguments) < 2 {
		return usage("service NAME ZONE [flags]")
	}
	name, zone := arguments[0], arguments[1]
	service, err := d.startStandin("service", name+".service", arguments[2:])
	if err != nil {
		return err
	}
	return d.startAgent(name, zone, "shipping", service.address)
}

// commandAgent implements agent NAME ZONE BACKEND: starts an additional agent for
// an engine's stand-in.
func commandAgent(d *deployment, arguments []string) error {
	if len(arguments) != 3 {
		return usage("agent NAME ZONE BACKEND")
	}
	p, err := d.process(arguments[2])
	if err != nil {
		return err
	}
	return d.startAgent(arguments[0], arguments[1], "advisors", p.address)
}

// commandEntry implements entry NAME ZONE: starts an entry host.
func commandEntry(d *deployment, arguments []string) error {
	if len(arguments) != 2 {
		return usage("entry NAME ZONE")
	}
	return d.startEntry(arguments[0], arguments[1])
}

// commandSeeds implements seeds NAME...: adds agents to the seeds in the settings
// of entry hosts that are started later.
func commandSeeds(d *deployment, arguments []string) error {
	for _, name := range arguments {
		for _, h := range d.hosts {
			if h.Name == name {
				d.seeds = append(d.seeds, h.Address)
			}
		}
	}
	return nil
}

// commandTerminate implements sigterm NAME... [&]: sends SIGTERM to processes and
// waits until each exits with status 0. With & it does not wait.
func commandTerminate(d *deployment, arguments []string) error {
	if arguments[len(arguments)-1] == "&" {
		return eachName(func(d *deployment, name string) error { return d.signal(name, syscall.SIGTERM) })(d, arguments[:len(arguments)-1])
	}
	return eachName((*deployment).stop)(d, arguments)
}
