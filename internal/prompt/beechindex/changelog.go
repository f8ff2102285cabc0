package beechindex

// maxChanges limits the changes that are kept, and those in one message. At two
// changes per second and engine, it covers a few minutes.
const maxChanges = 512

// changeLog holds the latest changes. The version is the number of changes so
// far, counted from 1.
type changeLog struct {
	changes []Change
	version uint64
}

func (l *changeLog) add(c Change) {
	if len(l.changes) == maxChanges {
		l.changes = append(l.changes[:0], l.changes[maxChanges/2:]...)
	}
	l.changes = append(l.changes, c)
	l.version++
}

// reset discards all changes, so that every earlier version is too old for since.
func (l *changeLog) reset() {
	l.changes = nil
	l.version++
}

// since returns the changes after a version, or false if not all of them are
// kept.
func (l *changeLog) since(after uint64) ([]Change, bool) {
	oldest := l.version - uint64(len(l.changes))
	if after == 0 || after < oldest || after > l.version {
		return nil, false
	}
	return append([]Change(nil), l.changes[after-oldest:]...), true
}
