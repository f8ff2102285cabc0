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

// Record is one play, as a line of a file of plays.
type Record struct {
	At       time.Time     `json:"at"`
	Why      string        `json:"why,omitempty"` // what was tried
	Day      string        `json:"day"`           // the file it was read from; empty for the built-in one
	Seed     uint64        `json:"seed"`
	Asked    int           `json:"asked"`
	Served   int           `json:"served"`
	Late     int           `json:"late"` // of those served
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Median   time.Duration `json:"median"` // nanoseconds to the first byte, of 50 in 100
	Tail     time.Duration `json:"tail"`   // of 99 in 100
	Prompts  int           `json:"prompts"`
	Read     int           `json:"read"` // of the prompts' tokens
	Promises int           `json:"promises"`
}

const (
	recordMode = 0o644
	recordMost = 1 << 20 // bytes of a line
	medianAt   = 50
	tailAt     = 99
)

var errRecord = errors.New("record of a play")

// Record gives a play's figures.
func (r *Report) Record(day Day, name, why string, at time.Time) Record {
	return Record{
		At: at.UTC(), Why: why, Day: name, Seed: day.Seed, Asked: r.Asked, Served: r.Served, Late: r.Late, Refused: r.Refused, Failed: r.Failed,
		Median: r.first(medianAt), Tail: r.first(tailAt), Prompts: r.Prompts, Read: r.Read, Promises: len(r.Promises),
	}
}

// InTimeShare is the share of requests that were answered within their objective.
func (r Record) InTimeShare() float64 { return share(r.Served-r.Late, r.Asked) }

// AnsweredShare is the share of requests that were answered.
func (r Record) AnsweredShare() float64 { return share(r.Served, r.Asked) }

// ReadShare is the share of prompt tokens that engines read; the rest they had.
func (r Record) ReadShare() float64 { return share(r.Read, r.Prompts) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// AppendRecord adds a line to a file of plays, which is made if need be.
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

// ReadRecords reads a file of plays. An error names the line.
func ReadRecords(r io.Reader) ([]Record, error) {
	var records []Record
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, recordMost)
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
