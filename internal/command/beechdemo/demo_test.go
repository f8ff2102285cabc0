package beechdemo

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The demo is the first thing that new users run. It must succeed and print its
// measurements.
func TestDemoAnswersAllRequests(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Run(context.Background(), Settings{Requests: 60, Callers: 4}, &out, io.Discard))
	is.True(strings.Contains(out.String(), "whole answers       54 of 54"))
	is.True(strings.Contains(out.String(), "prefix hit rate"))
}
