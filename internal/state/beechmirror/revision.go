package beechmirror

import "github.com/beechring/beechring/internal/state/beechera"

// ordered returns a page of the source with ordered revisions.
func (p Page) ordered() Page {
	q := Page{Revision: beechera.Order(p.Era, p.Revision), Items: make([]Item, len(p.Items))}
	for i, item := range p.Items {
		item.Revision, item.Created = beechera.Order(p.Era, item.Revision), beechera.Order(p.Era, item.Created)
		q.Items[i] = item
	}
	return q
}
