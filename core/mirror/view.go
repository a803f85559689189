package mirror

import (
	"cmp"
	"maps"
	"slices"
)

// maxDeleted bounds the deleted objects that a view remembers; the store's history covers fewer.
const maxDeleted = 4096

// Object is one stored object, or the record of its deletion.
type Object struct {
	Name     string
	Revision uint64
	Deleted  bool
	Raw      []byte // Raw is the stored encoding, passed on to peers unchanged.
}

// Page is a list of all objects of a kind, or of those changed after some revision.
type Page struct {
	Revision uint64 // Revision is the store's revision up to which the page holds the changes.
	Complete bool   // Complete is set if the page lists every object, so that all others are deleted.
	Objects  []Object
}

// View is a copy of all objects of one kind. It is immutable.
type View struct {
	revision uint64
	objects  map[string]Object
}

// ChangesSince returns a page of all objects that changed after a revision, including deleted ones.
func (v View) ChangesSince(after uint64) Page {
	p := Page{Revision: v.revision}
	for _, o := range v.objects {
		if o.Revision > after {
			p.Objects = append(p.Objects, o)
		}
	}
	slices.SortFunc(p.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return p
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

// Revision returns the store's revision up to which the view holds the changes.
func (v View) Revision() uint64 {
	return v.revision
}

// WithPage returns a view that holds the newer version of each object, and whether an object changed.
func (v View) WithPage(p Page) (View, bool) {
	next := View{revision: max(v.revision, p.Revision), objects: maps.Clone(v.objects)}
	if next.objects == nil {
		next.objects = make(map[string]Object, len(p.Objects))
	}
	changed := false
	for _, o := range p.Objects {
		changed = next.merge(o) || changed
	}
	if p.Complete {
		changed = next.deleteUnlisted(p) || changed
	}
	next.trimDeleted()
	return next, changed
}

// deleteUnlisted marks the objects that a complete page lacks as deleted, except for those changed after its revision.
func (v View) deleteUnlisted(p Page) bool {
	listed := make(map[string]bool, len(p.Objects))
	for _, o := range p.Objects {
		listed[o.Name] = true
	}
	changed := false
	for name, o := range v.objects {
		if !listed[name] && !o.Deleted && o.Revision <= p.Revision {
			v.objects[name] = Object{Name: name, Revision: p.Revision, Deleted: true}
			changed = true
		}
	}
	return changed
}

// trimDeleted removes the oldest deleted objects beyond maxDeleted.
func (v View) trimDeleted() {
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

// merge adds an object unless a newer version is known, and reports whether the view changed; the deletion of an
// unknown object does not count.
// A deletion also replaces a version of the same revision: it may carry the revision of the object's last change.
func (v View) merge(o Object) bool {
	old, known := v.objects[o.Name]
	if known && (o.Revision < old.Revision || o.Revision == old.Revision && (old.Deleted || !o.Deleted)) {
		return false
	}
	v.objects[o.Name] = o
	return !o.Deleted || known
}
