package beechindex

// maxLog bounds the changes that are kept, and those of one message: at two a
// second and engine, some minutes of them.
const maxLog = 512

// changeLog is the last changes. Version counts them from 1.
type changeLog struct {
	changes []Change
	version uint64
}

func (g *changeLog) add(c Change) {
	if len(g.changes) == maxLog {
		g.changes = append(g.changes[:0], g.changes[maxLog/2:]...)
	}
	g.changes = append(g.changes, c)
	g.version++
}

// forget makes every earlier version too old.
func (g *changeLog) forget() {
	g.changes = nil
	g.version++
}

// since is the changes after a version, or false where they are not all kept.
func (g *changeLog) since(after uint64) ([]Change, bool) {
	kept := g.version - uint64(len(g.changes))
	if after == 0 || after < kept || after > g.version {
		return nil, false
	}
	return append([]Change(nil), g.changes[after-kept:]...), true
}
