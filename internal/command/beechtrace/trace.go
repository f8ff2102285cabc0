package beechtrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"

	"github.com/beechring/beechring/internal/process/beechlog"
)

// line is one of a log, with the process that wrote it.
type line struct {
	time    string
	process string
	text    string
}

const (
	keepVariable = "SCENARIO_KEEP"
	logSuffix    = ".log"
	mostLines    = 300 // printed of one failed test
	mostBytes    = 400 // printed of one line
	longestLine  = 1 << 20
)

// Folder is where a test's processes write. It is removed after a test that
// passes.
func Folder(t testing.TB) string {
	t.Helper()
	folder, err := os.MkdirTemp("", strings.ReplaceAll(t.Name(), "/", "-")+"-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(tail(folder))
		}
		if t.Failed() || os.Getenv(keepVariable) != "" {
			t.Logf("logs and journals are kept in %s", folder)
			return
		}
		if err := os.RemoveAll(folder); err != nil {
			t.Error(err)
		}
	})
	return folder
}

// Show prints the last lines of the logs in a folder that its owner will remove,
// and keeps a copy of it.
func Show(t testing.TB, folder string) {
	t.Helper()
	t.Log(tail(folder))
	kept, err := os.MkdirTemp("", strings.ReplaceAll(t.Name(), "/", "-")+"-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(folder))
	}
	if err != nil {
		t.Logf("logs and journals are not kept: %v", err)
		return
	}
	t.Logf("logs and journals are kept in %s", kept)
}

// Logger is for a process inside the test. Its lines are printed if the test
// fails.
func Logger(t testing.TB) *zap.Logger {
	t.Helper()
	lines := &zaptest.Buffer{}
	t.Cleanup(func() {
		if t.Failed() {
			all := lines.Lines()
			t.Log(strings.Join(all[max(0, len(all)-mostLines):], "\n"))
		}
	})
	log, err := beechlog.New(zapcore.Lock(lines), "info")
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// tail joins the last lines of all logs in a folder, in the order of their
// times.
func tail(folder string) string {
	files, err := filepath.Glob(filepath.Join(folder, "*"+logSuffix))
	if err != nil || len(files) == 0 {
		return "no logs in " + folder
	}
	var all []line
	for _, file := range files {
		all = append(all, read(file)...)
	}
	slices.SortStableFunc(all, func(x, y line) int { return strings.Compare(x.time, y.time) })
	var text strings.Builder
	fmt.Fprintf(&text, "the last of %d lines of %d logs:\n", len(all), len(files))
	for _, l := range all[max(0, len(all)-mostLines):] {
		fmt.Fprintf(&text, "%s: %s\n", l.process, l.text[:min(len(l.text), mostBytes)])
	}
	return text.String()
}

// read gives a log's lines. One without a time, as of a panic, has that of the
// line before.
func read(file string) []line {
	f, err := os.Open(file)
	if err != nil {
		return []line{{process: file, text: err.Error()}}
	}
	defer f.Close()
	process := strings.TrimSuffix(filepath.Base(file), logSuffix)
	var out []line
	var last string
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		var head struct {
			Time string `json:"time"`
		}
		if json.Unmarshal(scanner.Bytes(), &head) == nil && head.Time != "" {
			last = head.Time
		}
		out = append(out, line{time: last, process: process, text: scanner.Text()})
	}
	return out
}
