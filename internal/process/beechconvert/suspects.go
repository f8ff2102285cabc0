package beechconvert

import (
	"cmp"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// WireSuspects converts suspect records to wire messages.
func WireSuspects(records []beechsuspect.Record) []beechwire.Suspect {
	out := make([]beechwire.Suspect, 0, len(records))
	for _, r := range records {
		out = append(out, beechwire.Suspect{
			Fingerprint: r.Fingerprint, Crashes: r.Crashes, AgeMillis: r.Age.Milliseconds(), Cleared: r.Cleared,
		})
	}
	return out
}

// MostCrashes returns the records with the most crashes, and the newest among
// equals, at most as many as a frequently sent datagram may carry. When many
// engines crash at once, everything they were running is suspect; sending all
// of it repeatedly filled the links of small entry hosts.
func MostCrashes(records []beechsuspect.Record) []beechsuspect.Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(x, y beechsuspect.Record) int {
		return cmp.Or(cmp.Compare(y.Crashes, x.Crashes), cmp.Compare(x.Age, y.Age))
	})
	return sorted[:min(len(sorted), maxSentRecords)]
}

const maxSentRecords = 6

// SuspectRecords converts wire messages to suspect records.
func SuspectRecords(suspects []beechwire.Suspect) []beechsuspect.Record {
	out := make([]beechsuspect.Record, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, beechsuspect.Record{
			Fingerprint: s.Fingerprint, Crashes: s.Crashes, Age: time.Duration(s.AgeMillis) * time.Millisecond, Cleared: s.Cleared,
		})
	}
	return out
}
