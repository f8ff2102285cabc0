//go:build review

package rig

import (
	"bufio"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Standin starts a stand-in of review/ as a process of its own and calls said with each line that it writes.
func (r *Rig) Standin(program, name string, said func(line string), args ...string) (*Proc, error) {
	cmd := exec.Command(filepath.Join(r.root, "review", "bin", program), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Proc{Name: name, cmd: cmd, done: make(chan struct{})}
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for first := true; lines.Scan(); first = false {
			if first {
				close(listening)
			}
			said(lines.Text())
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	select {
	case <-listening:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("%s has not started", name)
	}
}
