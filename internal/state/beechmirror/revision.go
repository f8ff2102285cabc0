package beechmirror

// A store that comes back from a copy gives out revisions again, and counts its restores in an
// era. Within this package, and in all items that it passes on, a revision is an ordered one: it
// has the era in its high bits, so that it orders writes across restores. Sources report plain
// revisions and the era.

const (
	// revisionBits leaves enough bits for decades of writes.
	revisionBits = 40
	// MaxRevision is the highest plain revision that a source may report.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a source may report.
	MaxEra = 1<<(63-revisionBits) - 1
)

// OrderedRevision returns the ordered revision of a plain one.
func OrderedRevision(era, revision uint64) uint64 { return era<<revisionBits | revision&MaxRevision }

// SplitRevision returns the era and the plain revision of an ordered one.
func SplitRevision(ordered uint64) (era, revision uint64) {
	return ordered >> revisionBits, ordered & MaxRevision
}

// SameEra reports whether two ordered revisions are of the same era.
func SameEra(x, y uint64) bool { return x>>revisionBits == y>>revisionBits }

// ordered returns a page of the source with ordered revisions.
func (p Page) ordered() Page {
	q := Page{Revision: OrderedRevision(p.Era, p.Revision), Items: make([]Item, len(p.Items))}
	for i, item := range p.Items {
		item.Revision, item.Created = OrderedRevision(p.Era, item.Revision), OrderedRevision(p.Era, item.Created)
		q.Items[i] = item
	}
	return q
}
