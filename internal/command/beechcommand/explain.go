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
	// logLine is a line of a process's log.
	logLine struct {
		at      time.Time
		process string
		message string
		fields  map[string]any
	}

	// believed is the last word of one kind before the request, in a process.
	believed struct {
		process string
		message string
	}
)

const (
	lineMost = 1 << 20
	// beliefsBefore is how long before a request a process's beliefs are told.
	beliefsBefore = 30 * time.Second
)

// beliefMessages are the lines that tell what a process believes, as
// docs/OPERATIONS.md lists them.
var beliefMessages = map[string]bool{
	"configuration in force": true, "weights named": true, "store lost": true, "store regained": true,
	"engine's phase": true, "server gone": true, "gate leaving": true, "gate started": true, "bounds in force": true,
	"server's limit known": true, "server's limit changed": true, "server's limit ended": true,
}

// plainFields stand in a line's own columns.
var plainFields = map[string]bool{"time": true, "level": true, "message": true, "process": true, "request": true}

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

// parseLog reads the lines of a log that are this project's, wherever in a line
// the object begins.
func parseLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
			continue // another program's line
		}
		at, err := time.Parse(time.RFC3339Nano, word(fields, "time"))
		if err != nil {
			continue
		}
		lines = append(lines, logLine{at: at, process: word(fields, "process"), message: word(fields, "message"), fields: fields})
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	return lines
}

func word(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

func explain(out io.Writer, id string, lines []logLine) error {
	var own []logLine
	touched := make(map[string]bool)
	for _, l := range lines {
		if word(l.fields, "request") == id {
			own = append(own, l)
			touched[l.process] = true
		}
	}
	if len(own) == 0 {
		return &refusedError{fmt.Errorf("request %s is in none of the logs; a request that ended as it should is there at level debug only", id)}
	}
	first := own[0].at
	for _, l := range beliefs(lines, touched, first) {
		printLine(out, l, first)
	}
	for _, l := range own {
		printLine(out, l, first)
	}
	return nil
}

// beliefs gives the last line of each kind before a time, of the processes that
// touched the request.
func beliefs(lines []logLine, touched map[string]bool, before time.Time) []logLine {
	last := make(map[believed]logLine)
	for _, l := range lines {
		if beliefMessages[l.message] && touched[l.process] && l.at.Before(before) && before.Sub(l.at) < beliefsBefore {
			last[believed{l.process, l.message}] = l
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
		if !plainFields[name] {
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
