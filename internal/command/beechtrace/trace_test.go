package beechtrace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The lines of all processes are sorted by time, and a panic, which has no time, stays after
// the line that it follows.
func TestTailIsSortedByTime(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600)) }
	write("a.log", `{"time":"2026-01-01T00:00:01Z","message":"first"}`+"\npanic: oh\n"+`{"time":"2026-01-01T00:00:03Z","message":"third"}`+"\n")
	write("b.log", `{"time":"2026-01-01T00:00:02Z","message":"second"}`+"\n")
	write("b.journal", "not a log\n")
	got := tail(folder)
	at := 0
	for _, want := range []string{"a: {\"time\":\"2026-01-01T00:00:01Z\"", "a: panic: oh", "b: ", "third"} {
		next := strings.Index(got[at:], want)
		is.True(next >= 0) // in this order
		at += next
	}
	is.True(!strings.Contains(got, "not a log"))
}

func TestFolderOfPassedTestIsRemoved(t *testing.T) {
	is := is.New(t)
	t.Setenv(keepVariable, "")
	var folder string
	t.Run("passes", func(t *testing.T) { folder = Folder(t) })
	_, err := os.Stat(folder)
	is.True(os.IsNotExist(err))
}
