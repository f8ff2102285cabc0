package beechscenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// apply FILE [base=N] [expect=accepted|conflict|unknown|refused].
func commandApply(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) != 1 {
		return usage("apply FILE [base=N] [expect=OUTCOME]")
	}
	p, err := w.process("platform")
	if err != nil {
		return err
	}
	call := []string{"apply", filepath.Join(w.dir, plain[0]), "--platform", p.address.String(), "--output", "json", "--timeout", "10s"}
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
		return fmt.Errorf("apply said %q, want %q: %s", result.Outcome, want, errs.String())
	}
	return nil
}

// readRequest reads the arguments of send and load.
func (w *world) readRequest(v values) (request, error) {
	r := request{
		Key:     v.text("key", "loop-key"),
		Model:   v.text("model", "fit-advisor"),
		System:  v.text("system", "You advise members on the size of their socks."),
		History: strings.Repeat(v.text("history", "row "), v.number("rows", 1)),
		Prompt:  v.text("prompt", "Which size?"),
		Tokens:  v.number("tokens", 20),
		Stream:  v.text("stream", "yes") == "yes",
		Idem:    v["idem"],
		Timeout: v.duration("timeout"),
		Service: v["service"],
		Method:  v["method"],
		Body:    v["body"],
		Slow:    v.duration("slow"),
		LeaveAt: v.number("leave", 0),
		Narrow:  v.text("narrow", "no") == "yes",
		Left:    v.duration("left"),
	}
	if from, given := v["after"]; given {
		before, err := w.call(from)
		if err != nil {
			return r, err
		}
		r = before.request
		r.LeaveAt = 0
		r.LastEvent = before.lastID
		r.Prior += before.text
		r.Key = v.text("key", r.Key)
		if altered, given := v["event"]; given {
			r.LastEvent = altered
		}
	}
	if name, given := v["entry"]; given {
		p, err := w.process(name)
		if err != nil {
			return r, err
		}
		r.Entry = p.address
	}
	return r, nil
}

// send NAME entry=N ... [&]: one caller, in the background with &. With
// persist=yes it goes on in the background until it is not refused as not run.
func commandSend(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) == 0 {
		return usage("send NAME entry=ENTRY ... [&]")
	}
	r, err := w.readRequest(named)
	if err != nil {
		return err
	}
	if named.text("persist", "no") == "yes" {
		go w.sendUntilRun(plain[0], r)
		return nil
	}
	c := newCall(context.Background(), plain[0], r)
	w.addCall(c)
	if len(plain) > 1 && plain[1] == "&" {
		return nil
	}
	return c.waitDone(patience)
}

// sendUntilRun sends again, as callers do, what is refused as not run. Only the
// last call keeps the name.
func (w *world) sendUntilRun(name string, r request) {
	for limit := time.Now().Add(patience); time.Now().Before(limit); {
		c := newCall(context.Background(), name, r)
		w.addCall(c)
		<-c.done
		if c.ran != "no" {
			return
		}
		time.Sleep(pollPause)
	}
}

// load NAME entries=A,B callers=N ...: background callers until halt.
func commandLoad(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) != 1 {
		return usage("load NAME entries=A,B callers=N ...")
	}
	r, err := w.readRequest(named)
	if err != nil {
		return err
	}
	w.startLoad(loadPlan{
		name: plain[0], callers: named.number("callers", 4), entries: strings.Split(named["entries"], ","), base: r,
		seed: uint64(named.number("seed", 1)), balanced: named.text("balanced", "no") == "yes",
		members: named.number("members", defaultMembers), firstMember: named.number("first", 0),
		hot: named.number("hot", 0), repeat: named.text("repeat", "no") == "yes",
	})
	return nil
}

// halt [NAME...]: background callers, or those named, send no more; their
// requests end.
func commandHalt(w *world, arguments []string) error {
	for _, l := range w.loads {
		if len(arguments) > 0 && !slices.Contains(arguments, l.plan.name) {
			continue
		}
		if err := l.halt(); err != nil {
			return err
		}
	}
	return nil
}

// await NAME...: until the calls have ended.
func commandWait(w *world, arguments []string) error {
	for _, name := range arguments {
		c, err := w.call(name)
		if err != nil {
			return err
		}
		if err := c.waitDone(patience); err != nil {
			return err
		}
	}
	return nil
}

// expect NAME [status=N] [ran=R] [code=C] [whole=yes|no] [retry=yes] [cached=some|none] [same=OTHER].
func commandExpect(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) != 1 {
		return usage("expect NAME ...")
	}
	c, err := w.call(plain[0])
	if err != nil {
		return err
	}
	for name, want := range named {
		got, err := w.property(c, name)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("%s is %q, want %q: %s", name, got, want, c.describe())
		}
	}
	return nil
}

func (w *world) property(c *call, name string) (string, error) {
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
		return yesNo(c.retry != ""), nil
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
		return "", fmt.Errorf("nothing to expect by the name %q", name)
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
