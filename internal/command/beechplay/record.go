package beechplay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Record holds the figures of one run of a day. A file of records has one JSON
// object per line.
type Record struct {
	At       time.Time     `json:"at"`
	Why      string        `json:"why,omitempty"` // purpose of the run
	Day      string        `json:"day"`           // file of the day; empty for Default
	Seed     uint64        `json:"seed"`
	Asked    int           `json:"asked"`
	Served   int           `json:"served"`
	Late     int           `json:"late"` // of those served, after the latency objective
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Median   time.Duration `json:"median"` // nanoseconds to the first byte, 50th percentile
	Tail     time.Duration `json:"tail"`   // 99th percentile
	Prompts  int           `json:"prompts"`
	Read     int           `json:"read"` // prompt tokens that engines prefilled
	Promises int           `json:"promises"`
}

const (
	recordMode       = 0o644
	maxLineBytes     = 1 << 20 // bytes of a line
	medianPercentile = 50
	tailPercentile   = 99
)

var errRecord = errors.New("record of a play")

// Record returns the figures of a run.
func (r *Report) Record(day Day, name, why string, at time.Time) Record {
	return Record{
		At: at.UTC(), Why: why, Day: name, Seed: day.Seed, Asked: r.Asked, Served: r.Served, Late: r.Late, Refused: r.Refused, Failed: r.Failed,
		Median: r.firstByteLatency(medianPercentile), Tail: r.firstByteLatency(tailPercentile), Prompts: r.Prompts, Read: r.Read, Promises: len(r.Promises),
	}
}

// InTimeShare returns the share of requests whose answer met its latency
// objective.
func (r Record) InTimeShare() float64 { return share(r.Served-r.Late, r.Asked) }

// AnsweredShare returns the share of requests that were answered completely.
func (r Record) AnsweredShare() float64 { return share(r.Served, r.Asked) }

// ReadShare returns the share of prompt tokens that engines prefilled; the others
// were cached.
func (r Record) ReadShare() float64 { return share(r.Read, r.Prompts) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// AppendRecord appends a record to a file, which is created if necessary.
func AppendRecord(path string, r Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("%w: %w", errRecord, err)
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordMode)
	if err != nil {
		return fmt.Errorf("%w: %w", errRecord, err)
	}
	_, err = f.Write(append(line, '\n'))
	return errors.Join(err, f.Close())
}

// ReadRecords reads a file of records. Errors include the line number.
func ReadRecords(r io.Reader) ([]Record, error) {
	var records []Record
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var record Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return nil, fmt.Errorf("%w, line %d: %w", errRecord, n, err)
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecord, err)
	}
	return records, nil
}
