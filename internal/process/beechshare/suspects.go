package beechshare

import (
	"time"

	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// WireSuspects makes messages of a register's records.
func WireSuspects(records []beechsuspect.Record) []beechwire.Suspect {
	out := make([]beechwire.Suspect, 0, len(records))
	for _, r := range records {
		out = append(out, beechwire.Suspect{
			Fingerprint: r.Fingerprint, Crashes: r.Crashes, AgeMillis: r.Age.Milliseconds(), Cleared: r.Cleared,
		})
	}
	return out
}

// SuspectRecords makes records of messages.
func SuspectRecords(suspects []beechwire.Suspect) []beechsuspect.Record {
	out := make([]beechsuspect.Record, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, beechsuspect.Record{
			Fingerprint: s.Fingerprint, Crashes: s.Crashes, Age: time.Duration(s.AgeMillis) * time.Millisecond, Cleared: s.Cleared,
		})
	}
	return out
}
