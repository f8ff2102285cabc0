package beechplay

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

func TestAppendAndReadRecords(t *testing.T) {
	is := is.New(t)
	report := &Report{Asked: 10, Served: 8, Late: 2, Prompts: 1000, Read: 250, Promises: []string{"one"}, First: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
	is.NoErr(report.First.RecordValue(20000))
	at := time.Date(2026, 5, 1, 10, 0, 0, 0, time.UTC)
	path := filepath.Join(t.TempDir(), "plays.jsonl")
	first, second := report.Record(Day{Seed: 3}, "day.json", "as it stands", at), report.Record(Day{Seed: 4}, "", "", at)
	is.NoErr(AppendRecord(path, first))
	is.NoErr(AppendRecord(path, second))
	data, err := os.ReadFile(path)
	is.NoErr(err)
	records, err := ReadRecords(bytes.NewReader(data))
	is.NoErr(err)
	is.Equal(records, []Record{first, second})
	is.Equal(records[0].InTimeShare(), 0.6)
	is.Equal(records[0].AnsweredShare(), 0.8)
	is.Equal(records[0].ReadShare(), 0.25)
	is.Equal(records[0].Promises, 1)
	is.Equal(Record{}.AnsweredShare(), 0.0) // no requests
}
