package feed

import (
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/wire"
)

// pageFromWire decodes a page from a message.
func pageFromWire(p wire.KindUpdates) mirror.Page {
	page := mirror.Page{Era: p.Era, Revision: p.Revision, Baseline: p.Baseline, Complete: p.Complete, Unchanged: p.Unchanged}
	for _, o := range p.Objects {
		page.Objects = append(page.Objects, mirror.Object{
			Name:     o.Name,
			Revision: o.Revision,
			Deleted:  o.Deleted,
			Raw:      o.Value,
		})
	}
	return page
}

// pageToWire encodes a page of a kind into a message.
func pageToWire(kind string, p mirror.Page) wire.KindUpdates {
	updates := wire.KindUpdates{Kind: kind, Era: p.Era, Revision: p.Revision, Baseline: p.Baseline, Complete: p.Complete, Unchanged: p.Unchanged}
	for _, o := range p.Objects {
		updates.Objects = append(updates.Objects, wire.Object{
			Kind:     kind,
			Name:     o.Name,
			Revision: o.Revision,
			Deleted:  o.Deleted,
			Value:    o.Raw,
		})
	}
	return updates
}
