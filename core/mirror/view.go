package mirror

import (
	"cmp"
	"maps"
	"slices"
)

// maxDeleted bounds the deleted entries that are remembered; the store's history is shorter.
const maxDeleted = 4096

// Object is one stored object, or the news of its deletion.
type Object struct {
	Name     string
	Revision uint64
	Deleted  bool
	Raw      []byte // Raw is the stored encoding, passed on to peers unchanged.
}

// Page is a set of objects, complete up to a revision.
type Page struct {
	At      uint64
	Whole   bool // Whole tells that the page lists every object, so that others are gone.
	Objects []Object
}

// View is a copy of all objects of one kind; its values are never changed after construction.
type View struct {
	at      uint64
	objects map[string]Object
}

// At returns the store's revision up to which the view is complete.
func (v View) At() uint64 {
	return v.at
}

// Get returns an object that is not deleted.
func (v View) Get(name string) (Object, bool) {
	o, ok := v.objects[name]
	return o, ok && !o.Deleted
}

// Live returns the objects that are not deleted, sorted by name.
func (v View) Live() []Object {
	live := make([]Object, 0, len(v.objects))
	for _, o := range v.objects {
		if !o.Deleted {
			live = append(live, o)
		}
	}
	slices.SortFunc(live, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Since returns the page of all changes after a revision.
func (v View) Since(after uint64) Page {
	p := Page{At: v.at}
	for _, o := range v.objects {
		if o.Revision > after {
			p.Objects = append(p.Objects, o)
		}
	}
	slices.SortFunc(p.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return p
}

// WithPage returns a view that holds the newer of each entry, and whether an entry changed.
func (v View) WithPage(p Page) (View, bool) {
	next := View{at: max(v.at, p.At), objects: maps.Clone(v.objects)}
	if next.objects == nil {
		next.objects = make(map[string]Object, len(p.Objects))
	}
	changed := false
	for _, o := range p.Objects {
		changed = next.take(o) || changed
	}
	if p.Whole {
		changed = next.drop(p) || changed
	}
	next.forget()
	return next, changed
}

// drop marks what a whole page lacks as deleted, unless it was stored after the page was made.
func (v View) drop(p Page) bool {
	listed := make(map[string]bool, len(p.Objects))
	for _, o := range p.Objects {
		listed[o.Name] = true
	}
	changed := false
	for name, o := range v.objects {
		if !listed[name] && !o.Deleted && o.Revision <= p.At {
			v.objects[name] = Object{Name: name, Revision: p.At, Deleted: true}
			changed = true
		}
	}
	return changed
}

// forget removes the oldest deletions beyond the bound.
func (v View) forget() {
	var deleted []Object
	for _, o := range v.objects {
		if o.Deleted {
			deleted = append(deleted, o)
		}
	}
	if len(deleted) <= maxDeleted {
		return
	}
	slices.SortFunc(deleted, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, o := range deleted[:len(deleted)-maxDeleted] {
		delete(v.objects, o.Name)
	}
}

// take merges one object and tells whether it was news; a deletion may carry the revision of the last change.
func (v View) take(o Object) bool {
	old, known := v.objects[o.Name]
	if known && (o.Revision < old.Revision || o.Revision == old.Revision && (old.Deleted || !o.Deleted)) {
		return false
	}
	v.objects[o.Name] = o
	return !o.Deleted || known
}
