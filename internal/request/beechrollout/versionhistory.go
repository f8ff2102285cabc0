package beechrollout

import "time"

// VersionHistory records when the latest versions of a model's weights were
// announced. The zero value is empty. It is not safe for concurrent use.
type VersionHistory struct {
	announcements []announcement // oldest first
}

type announcement struct {
	version uint64
	at      time.Time
}

// maxVersions is the number of versions kept per model.
const maxVersions = 16

// Add records a version and reports whether it is newer than all recorded ones.
func (v *VersionHistory) Add(version uint64, at time.Time) bool {
	if n := len(v.announcements); n > 0 && v.announcements[n-1].version >= version {
		return false
	}
	v.announcements = append(v.announcements, announcement{version: version, at: at})
	v.announcements = v.announcements[max(len(v.announcements)-maxVersions, 0):]
	return true
}

// SupersededFor returns how long ago the weights with version have were superseded,
// and whether they were. The time counts from the first newer version: while versions
// follow one another quickly, the age of the newest one does not tell how long an
// engine's weights have been out of date.
func (v *VersionHistory) SupersededFor(have uint64, now time.Time) (age time.Duration, superseded bool) {
	for _, n := range v.announcements {
		if n.version > have {
			return now.Sub(n.at), true
		}
	}
	return 0, false
}
