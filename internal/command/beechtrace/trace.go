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

// line is a log line and the process that wrote it.
type line struct {
	time    string
	process string
	text    string
}

const (
	keepVariable    = "SCENARIO_KEEP"
	logSuffix       = ".log"
	maxTailLines    = 300 // printed for each failed test
	maxPrintedBytes = 400 // printed of each line

	// maxInputLineBytes limits the length of a log line. The log is not read beyond a longer one.
	maxInputLineBytes = 1 << 20
)

// Folder creates a folder for the logs and journals of a test's processes. It is removed
// when the test ends, unless the test failed or SCENARIO_KEEP is set.
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

// Show prints the last lines of the logs in a folder, and keeps a copy of the folder, which
// its owner will remove.
func Show(t testing.TB, folder string) {
	t.Helper()
	t.Log(tail(folder))
	kept, err := os.MkdirTemp("", strings.ReplaceAll(t.Name(), "/", "-")+"-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(folder))
	}
	if err != nil {
		t.Logf("could not keep logs and journals: %v", err)
		return
	}
	t.Logf("logs and journals are kept in %s", kept)
}

// Logger returns a logger for code that runs inside the test process. Its last lines are
// printed if the test fails.
func Logger(t testing.TB) *zap.Logger {
	t.Helper()
	lines := &zaptest.Buffer{}
	t.Cleanup(func() {
		if t.Failed() {
			all := lines.Lines()
			t.Log(strings.Join(all[max(0, len(all)-maxTailLines):], "\n"))
		}
	})
	log, err := beechlog.New(zapcore.Lock(lines), "info")
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// tail returns the last lines of all logs in a folder, sorted by time.
func tail(folder string) string {
	files, err := filepath.Glob(filepath.Join(folder, "*"+logSuffix))
	if err != nil || len(files) == 0 {
		return "no logs in " + folder
	}
	var all []line
	for _, file := range files {
		all = append(all, readLog(file)...)
	}
	slices.SortStableFunc(all, func(x, y line) int { return strings.Compare(x.time, y.time) })
	var text strings.Builder
	fmt.Fprintf(&text, "last lines of the logs (%d lines in %d logs):\n", len(all), len(files))
	for _, l := range all[max(0, len(all)-maxTailLines):] {
		fmt.Fprintf(&text, "%s: %s\n", l.process, l.text[:min(len(l.text), maxPrintedBytes)])
	}
	return text.String()
}

// readLog returns the lines of a log. A line without a time, such as that of a panic, gets the
// time of the line before it.
func readLog(file string) []line {
	f, err := os.Open(file)
	if err != nil {
		return []line{{process: file, text: err.Error()}}
	}
	defer f.Close()
	process := strings.TrimSuffix(filepath.Base(file), logSuffix)
	var out []line
	var last string
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxInputLineBytes)
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
