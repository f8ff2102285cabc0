package beechscenario

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/state/beechrecord"
)

const (
	keyWorkspace = "loop" // workspace of the default key
	maxDrawnKeys = 1000
)

// commandApply implements apply FILE [base=N]
// [expect=accepted|conflict|unknown|refused]: applies a manifest and checks the
// outcome.
func commandApply(d *deployment, arguments []string) error {
	plain, named := parseArguments(arguments)
	if len(plain) != 1 {
		return usage("apply FILE [base=N] [expect=OUTCOME]")
	}
	p, err := d.process("platform")
	if err != nil {
		return err
	}
	call := []string{"apply", filepath.Join(d.dir, plain[0]), "--platform", p.address.String(), "--output", "json", "--timeout", "10s"}
	if base, given := named["base"]; given {
		call = append(call, "--base", base)
	}
	var out, errs bytes.Buffer
	run := exec.Command(binary, call...)
	run.Stdout = &out
	run.Stderr = &errs
	_ = run.Run()
	var result struct {
		Outcome string `json:"outcome"`
	}
	_ = json.Unmarshal(out.Bytes(), &result)
	if want := named.text("expect", "accepted"); result.Outcome != want {
		return fmt.Errorf("outcome of apply is %q, want %q: %s", result.Outcome, want, errs.String())
	}
	return nil
}

// idempotencyKey returns the key that a script calls by name. With an agent in away, the key is
// drawn so that another agent owns its claim, whatever the addresses of this run: owners follow
// from them.
func (d *deployment) idempotencyKey(name, away string) string {
	if away == "" {
		return cmp.Or(d.drawnKeys[name], name)
	}
	var agents []netip.AddrPort
	var avoided netip.AddrPort
	for _, h := range d.hosts {
		if h.Role == "agent" {
			agents = append(agents, h.Address)
		}
		if h.Name == away {
			avoided = h.Address
		}
	}
	for n := range maxDrawnKeys {
		drawn := fmt.Sprintf("%s-%d", name, n)
		sum := sha256.Sum256([]byte(keyWorkspace + "\x00" + drawn))
		shard := beechrecord.Key{Name: hex.EncodeToString(sum[:])}.Shard(beechwire.RecordShards)
		if beechrecord.Owner(shard, agents) != avoided {
			d.drawnKeys[name] = drawn
			return drawn
		}
	}
	d.t.Errorf("no key is owned by another agent than %s", away)
	return name
}

// readRequest builds a request from the arguments of send and load.
func (d *deployment) readRequest(v values) (request, error) {
	r := request{
		Key:              v.text("key", "loop-key"),
		Model:            v.text("model", "fit-advisor"),
		System:           v.text("system", "You advise members on the size of their socks."),
		History:          strings.Repeat(v.text("history", "row "), v.number("rows", 1)),
		Prompt:           v.text("prompt", "Which size?"),
		Tokens:           v.number("tokens", 20),
		Stream:           v.text("stream", "yes") == "yes",
		IdempotencyKey:   d.idempotencyKey(v["idem"], v["away"]),
		Timeout:          v.duration("timeout"),
		Service:          v["service"],
		Method:           v["method"],
		Body:             v["body"],
		ReadDelay:        v.duration("slow"),
		LeaveAfterEvents: v.number("leave", 0),
		SmallBuffer:      v.text("narrow", "no") == "yes",
		LeaveAfter:       v.duration("left"),
	}
	if from, given := v["after"]; given {
		before, err := d.call(from)
		if err != nil {
			return r, err
		}
		r = before.request
		r.LeaveAfterEvents = 0
		r.LastEvent = before.lastID
		r.PriorText += before.text
		r.Key = v.text("key", r.Key)
		if altered, given := v["event"]; given {
			r.LastEvent = altered
		}
	}
	if name, given := v["entry"]; given {
		p, err := d.process(name)
		if err != nil {
			return r, err
		}
		r.Entry = p.address
	}
	return r, nil
}

// commandSend implements send NAME entry=ENTRY ... [&]: sends a call, in the
// background with &. With persist=yes it repeats the call in the background until
// it is not refused as not run.
func commandSend(d *deployment, arguments []string) error {
	plain, named := parseArguments(arguments)
	if len(plain) == 0 {
		return usage("send NAME entry=ENTRY ... [&]")
	}
	r, err := d.readRequest(named)
	if err != nil {
		return err
	}
	if named.text("persist", "no") == "yes" {
		go d.sendUntilRun(plain[0], r)
		return nil
	}
	c := newCall(context.Background(), plain[0], r)
	d.addCall(c)
	if len(plain) > 1 && plain[1] == "&" {
		return nil
	}
	return d.awaitCall(c)
}

// sendUntilRun repeats a call while it is refused as not run, as real callers do.
// The name refers to the latest of these calls.
func (d *deployment) sendUntilRun(name string, r request) {
	for limit := time.Now().Add(conditionTimeout); time.Now().Before(limit); {
		c := newCall(context.Background(), name, r)
		d.addCall(c)
		<-c.done
		if c.ran != "no" {
			return
		}
		time.Sleep(pollInterval)
	}
}

// commandLoad implements load NAME entries=A,B callers=N ...: sends calls in the
// background until halt.
func commandLoad(d *deployment, arguments []string) error {
	plain, named := parseArguments(arguments)
	if len(plain) != 1 {
		return usage("load NAME entries=A,B callers=N ...")
	}
	r, err := d.readRequest(named)
	if err != nil {
		return err
	}
	d.startLoad(loadPlan{
		name: plain[0], callers: named.number("callers", 4), entries: strings.Split(named["entries"], ","), base: r,
		seed: uint64(named.number("seed", 1)), balanced: named.text("balanced", "no") == "yes",
		members: named.number("members", defaultMembers), firstMember: named.number("first", 0),
		hot: named.number("hot", 0), repeat: named.text("repeat", "no") == "yes",
	})
	return nil
}

// commandHalt implements halt [NAME...]: stops all loads, or those named, and waits
// until their requests have ended.
func commandHalt(d *deployment, arguments []string) error {
	for _, l := range d.loads {
		if len(arguments) > 0 && !slices.Contains(arguments, l.plan.name) {
			continue
		}
		if err := l.halt(); err != nil {
			return err
		}
	}
	return nil
}

// commandWait implements await NAME...: waits until the calls have ended.
func commandWait(d *deployment, arguments []string) error {
	for _, name := range arguments {
		c, err := d.call(name)
		if err != nil {
			return err
		}
		if err := d.awaitCall(c); err != nil {
			return err
		}
	}
	return nil
}

// awaitCall waits until a call has ended. If it does not end within conditionTimeout, what
// the processes know is kept.
func (d *deployment) awaitCall(c *call) error {
	err := c.waitDone(conditionTimeout)
	if err != nil {
		return fmt.Errorf("%w (%s)", err, d.keepEvidence(err.Error()))
	}
	return nil
}

// commandExpect implements expect NAME [status=N] [ran=R] [code=C] [whole=yes|no]
// [retry=yes|no] [cached=some|none] [body=TEXT] [open=yes|no]: checks a call.
func commandExpect(d *deployment, arguments []string) error {
	plain, named := parseArguments(arguments)
	if len(plain) != 1 {
		return usage("expect NAME ...")
	}
	c, err := d.call(plain[0])
	if err != nil {
		return err
	}
	for name, want := range named {
		got, err := d.property(c, name)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("%s is %q, want %q: %s", name, got, want, c.describe())
		}
	}
	return nil
}

func (d *deployment) property(c *call, name string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch name {
	case "status":
		return fmt.Sprint(c.status), nil
	case "ran":
		return c.ran, nil
	case "code":
		return c.code, nil
	case "whole":
		return yesNo(c.finished && c.code == "" && c.err == nil), nil
	case "retry":
		return yesNo(c.retryAfter != ""), nil
	case "cached":
		if c.cached > 0 {
			return "some", nil
		}
		return "none", nil
	case "body":
		return string(c.body), nil
	case "open":
		return yesNo(!c.isOver()), nil
	default:
		return "", fmt.Errorf("unknown property %q", name)
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
