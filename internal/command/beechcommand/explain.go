package beechcommand

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

type (
	// logLine is a parsed line of a process's log.
	logLine struct {
		at      time.Time
		process string
		message string
		fields  map[string]any
	}

	// stateKey identifies a kind of state message of a process.
	stateKey struct {
		process string
		message string
	}
)

const (
	maxLineBytes = 1 << 20
	// stateWindow is how long before a request's first line state messages are
	// still printed.
	stateWindow = 30 * time.Second
)

// stateMessages are the log messages that report a process's view of the
// deployment, as listed in docs/OPERATIONS.md.
var stateMessages = map[string]bool{
	"configuration in force": true, "weights named": true, "store lost": true, "store regained": true, "watches the store": true, "store watched by a peer": true,
	"engine's phase": true, "server gone": true, "gate leaving": true, "gate started": true, "bounds in force": true,
	"server's limit known": true, "server's limit changed": true, "server's limit ended": true,
}

// columnFields are printed in columns of their own or left out, not as name=value
// pairs.
var columnFields = map[string]bool{"time": true, "level": true, "message": true, "process": true, "request": true}

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Print a request's way through the logs of several hosts",
		Long:    "Print a request's way through the logs of several hosts, in order of time, with what\nthe processes that touched it believed just before. FILE is a log in JSON lines, or -\nfor standard input; lines of other programs are passed over.",
		Example: "  beechring explain 9c41d07be2a35f68 entry-1.log entry-2.log\n  cat *.log | beechring explain 9c41d07be2a35f68 -",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			var lines []logLine
			for _, name := range arguments[1:] {
				data, err := readFile(name, c.InOrStdin())
				if err != nil {
					return err
				}
				lines = append(lines, parseLog(strings.NewReader(string(data)))...)
			}
			return explain(c.OutOrStdout(), arguments[0], lines)
		},
	}
}

// parseLog returns the JSON log lines with a valid time, sorted by time. Text
// before the JSON object is skipped; other lines are ignored.
func parseLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
			continue // line of another program
		}
		at, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
		if err != nil {
			continue
		}
		lines = append(lines, logLine{at: at, process: stringField(fields, "process"), message: stringField(fields, "message"), fields: fields})
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	return lines
}

func stringField(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

func explain(out io.Writer, id string, lines []logLine) error {
	var requestLines []logLine
	processes := make(map[string]bool)
	for _, l := range lines {
		if stringField(l.fields, "request") == id {
			requestLines = append(requestLines, l)
			processes[l.process] = true
		}
	}
	if len(requestLines) == 0 {
		return &refusedError{fmt.Errorf("request %s not found in the logs; requests that ended normally are logged at debug level only", id)}
	}
	first := requestLines[0].at
	for _, l := range stateLines(lines, processes, first) {
		printLine(out, l, first)
	}
	for _, l := range requestLines {
		printLine(out, l, first)
	}
	return nil
}

// stateLines returns, for each process that handled the request, the last line of
// each state message within stateWindow before the given time, sorted by time.
func stateLines(lines []logLine, processes map[string]bool, before time.Time) []logLine {
	last := make(map[stateKey]logLine)
	for _, l := range lines {
		if stateMessages[l.message] && processes[l.process] && l.at.Before(before) && before.Sub(l.at) < stateWindow {
			last[stateKey{l.process, l.message}] = l
		}
	}
	sorted := make([]logLine, 0, len(last))
	for _, l := range last {
		sorted = append(sorted, l)
	}
	slices.SortFunc(sorted, func(x, y logLine) int { return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.message, y.message)) })
	return sorted
}

func printLine(out io.Writer, l logLine, first time.Time) {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !columnFields[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&text, " %s=%v", name, l.fields[name])
	}
	_, _ = fmt.Fprintf(out, "%+9.3fs  %-24s %s%s\n", l.at.Sub(first).Seconds(), l.process, l.message, text.String())
}
