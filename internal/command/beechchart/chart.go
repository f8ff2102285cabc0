// Package beechchart compares plays, which are recorded runs of beechplay: the
// results of the callers in each, as a table or as a plot.
//
// # Usage
//
//	err := beechchart.Table(out, records)
//	err = beechchart.Plot(out, records) // SVG
package beechchart

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/beechring/beechring/internal/command/beechplay"
)

const (
	width        = 900
	height       = 400
	percent      = 100
	dotWidth     = 3
	minPlotPlays = 2 // a line needs two points
)

// ErrTooFewPlays is the error of Plot if there are fewer than two plays.
var ErrTooFewPlays = errors.New("a plot needs two plays or more")

// Table writes a table with a line for each play, in the order of records (earliest first).
func Table(out io.Writer, records []beechplay.Record) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "play\twhole\tin time\trefused\tfailed\tp50\tp99\tread\tbroken\t  why")
	for i, r := range records {
		_, _ = fmt.Fprintf(w, "%d\t%.1f%%\t%.1f%%\t%d\t%d\t%s\t%s\t%.1f%%\t%d\t  %s\n", i+1,
			percent*r.AnsweredShare(), percent*r.InTimeShare(), r.Refused, r.Failed, r.Median.Round(time.Millisecond), r.Tail.Round(time.Millisecond),
			percent*r.ReadShare(), r.Promises, r.Why)
	}
	return w.Flush() // also returns errors of earlier writes
}

// Plot writes the shares of complete answers, of answers in time and of prefilled prompt
// tokens as an SVG line chart over the plays.
func Plot(out io.Writer, records []beechplay.Record) error {
	if len(records) < minPlotPlays {
		return fmt.Errorf("%w: there are %d", ErrTooFewPlays, len(records))
	}
	plays := make([]float64, len(records))
	ticks := make([]chart.Tick, len(records))
	for i := range records {
		plays[i] = float64(i + 1)
		ticks[i] = chart.Tick{Value: plays[i], Label: strconv.Itoa(i + 1)}
	}
	graph := chart.Chart{
		Width: width, Height: height, Background: chart.Style{Padding: chart.Box{Top: 20, Left: 160}},
		XAxis: chart.XAxis{Name: "play", Ticks: ticks},
		YAxis: chart.YAxis{Name: "% of requests, or of prompt tokens", Range: &chart.ContinuousRange{Min: 0, Max: percent}},
	}
	for _, line := range []struct {
		name  string
		value func(beechplay.Record) float64
	}{
		{"whole answers", beechplay.Record.AnsweredShare}, {"in time", beechplay.Record.InTimeShare}, {"prompt tokens read", beechplay.Record.ReadShare},
	} {
		shares := make([]float64, len(records))
		for i, r := range records {
			shares[i] = percent * line.value(r)
		}
		graph.Series = append(graph.Series, chart.ContinuousSeries{Name: line.name, XValues: plays, YValues: shares, Style: chart.Style{DotWidth: dotWidth}})
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	if err := graph.Render(chart.SVG, out); err != nil {
		return fmt.Errorf("plot plays: %w", err)
	}
	return nil
}
