package beechplay

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

// documentedMessages returns the messages in the first column of the table of log
// lines in the operators' manual.
func documentedMessages(t *testing.T) map[string]bool {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "| message | fields | tells |\n")
	if !found {
		t.Fatal("no table of log lines")
	}
	messages := make(map[string]bool)
	quoted := regexp.MustCompile("`([^`]+)`")
	for line := range strings.Lines(table) {
		if !strings.HasPrefix(line, "|") {
			break
		}
		for _, name := range quoted.FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			messages[name[1]] = true
		}
	}
	return messages
}

// If a log message is added or renamed without updating the operators' manual,
// operators cannot look it up. Each log line of a day with faults must be JSON
// with a level, a time and a message, and the manual must list the message.
func TestLogLinesAreDocumented(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := beechlog.New(&out, "info")
	is.NoErr(err)
	day := Default
	day.Length, day.Faults = beechsettings.Duration(4*time.Second), nil
	for _, f := range []struct {
		at, lasts time.Duration
		kind      string
	}{
		{100 * time.Millisecond, 0, "weights"},
		{300 * time.Millisecond, 400 * time.Millisecond, "reset"},
		{800 * time.Millisecond, 200 * time.Millisecond, "refuse"},
		{1100 * time.Millisecond, 0, "compact"},
		{1300 * time.Millisecond, 2400 * time.Millisecond, "store down"}, // longer than the time between reads
	} {
		day.Faults = append(day.Faults, Fault{At: beechsettings.Duration(f.at), For: beechsettings.Duration(f.lasts), Kind: f.kind})
	}
	_, err = Play(t.Context(), day, log)
	is.NoErr(err)
	known := documentedMessages(t)
	is.True(len(known) > 20)
	seen := make(map[string]bool)
	for line := range strings.Lines(out.String()) {
		var fields struct {
			Level   string    `json:"level"`
			Time    time.Time `json:"time"`
			Message string    `json:"message"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &fields))
		is.True(fields.Level != "" && !fields.Time.IsZero())
		if !known[fields.Message] {
			t.Errorf("not in the table: %q", fields.Message)
		}
		seen[fields.Message] = true
	}
	for _, message := range []string{"configuration in force", "order sent", "store lost", "gate stopped", "attempt failed"} {
		if !seen[message] {
			t.Errorf("not seen: %q", message)
		}
	}
}
