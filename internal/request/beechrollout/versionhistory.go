package beechrollout

import "time"

// VersionHistory remembers when the last versions of a model were named. The zero
// value knows none. It is not safe for concurrent use.
type VersionHistory struct {
	list []named // the oldest first
}

type named struct {
	version uint64
	at      time.Time
}

// versionsMost are remembered of a model.
const versionsMost = 16

// Add takes in a version, and tells whether it is news.
func (v *VersionHistory) Add(version uint64, at time.Time) bool {
	if n := len(v.list); n > 0 && v.list[n-1].version >= version {
		return false
	}
	v.list = append(v.list, named{version: version, at: at})
	v.list = v.list[max(len(v.list)-versionsMost, 0):]
	return true
}

// SupersededFor is the time since weights were overtaken, by the first newer ones
// that were named: while versions follow one another quickly, the last one's
// age says nothing of how old an engine's weights are.
func (v *VersionHistory) SupersededFor(have uint64, now time.Time) (age time.Duration, old bool) {
	for _, n := range v.list {
		if n.version > have {
			return now.Sub(n.at), true
		}
	}
	return 0, false
}
