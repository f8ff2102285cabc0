package beechchart

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechplay"
)

func TestPlotIsWellFormed(t *testing.T) {
	is := is.New(t)
	var picture bytes.Buffer
	is.NoErr(Plot(&picture, []beechplay.Record{{Asked: 10, Served: 9, Prompts: 100, Read: 40}, {Asked: 10, Served: 10}, {}}))
	decoder := xml.NewDecoder(&picture)
	lines := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "path" {
			lines++
		}
	}
	is.True(lines >= 3) // one for each share
}

func TestTooFewPlays(t *testing.T) {
	is.New(t).True(errors.Is(Plot(io.Discard, make([]beechplay.Record, 1)), ErrTooFewPlays))
}
