package mirror

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
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
	Era      uint64 // Era counts the returns of the store from a copy; revisions are compared only within an era.
	Revision uint64 // Revision is the store's revision up to which the page holds the changes.
	// Baseline is the lowest revision that the sender knows of a list of the era; 0 stands for Revision.
	Baseline uint64
	Complete bool // Complete is set if the page names every object, so that all others are deleted.
	Objects  []Object
	// Unchanged holds the names of the objects that exist and are not in Objects, if the page is complete.
	Unchanged []string
}

// View is a copy of all objects of one kind. It is immutable.
type View struct {
	era      uint64
	revision uint64
	// baseline is the lowest known revision of a list of the era, or 0 in era 0. Objects of later revisions have been
	// written since the store came back.
	baseline uint64
	earlier  map[string]Object // earlier holds the objects as the eras before held them last, deleted ones included.
	// deletionsSince is the revision after which the view holds every deletion. A list does not tell which objects were
	// deleted before it.
	deletionsSince uint64
	objects        []Object // objects is sorted by name and includes deleted objects, with the value they had last.
}

// Baseline returns the lowest known revision of a list of the view's era, or 0 in era 0.
func (v View) Baseline() uint64 {
	return v.baseline
}

// ChangesAfter returns the page for a view of an era that holds the changes up to a revision: all objects if that era is
// an earlier one. A view of an earlier era has nothing for one of a later era, and returns false.
func (v View) ChangesAfter(era, revision uint64) (Page, bool) {
	switch {
	case era > v.era:
		return Page{}, false
	case era == v.era:
		return v.ChangesSince(revision), true
	}
	p := Page{Era: v.era, Revision: v.revision, Baseline: v.baseline, Complete: true}
	for o := range v.Live() {
		p.Objects = append(p.Objects, o)
	}
	return p, true
}

// ChangesSince returns a page of all objects that changed after a revision, including deleted ones. If the view lacks
// deletions after that revision, the page is complete: it also names the objects that did not change.
func (v View) ChangesSince(after uint64) Page {
	p := Page{Era: v.era, Revision: v.revision, Baseline: v.baseline, Complete: after < v.deletionsSince}
	for i := range v.objects {
		switch o := &v.objects[i]; {
		case o.Revision > after:
			p.Objects = append(p.Objects, *o)
			if o.Deleted {
				p.Objects[len(p.Objects)-1].Raw = nil
			}
		case p.Complete && !o.Deleted:
			p.Unchanged = append(p.Unchanged, o.Name)
		}
	}
	slices.SortFunc(p.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return p
}

// Earlier returns an object as the eras before the view's held it last. If it was deleted there, it has the value that it
// had before, as far as the view held that. An object that was written in the view's era has none.
func (v View) Earlier(o Object) (Object, bool) {
	if o.Revision > v.baseline {
		return Object{}, false
	}
	earlier, ok := v.earlier[o.Name]
	return earlier, ok
}

// Era returns the era of the store that the view is a copy of.
func (v View) Era() uint64 {
	return v.era
}

// Get returns an object that is not deleted.
func (v View) Get(name string) (Object, bool) {
	i, ok := find(v.objects, name)
	if !ok || v.objects[i].Deleted {
		return Object{}, false
	}
	return v.objects[i], true
}

// Live iterates over the objects that are not deleted, in the order of their names.
func (v View) Live() iter.Seq[Object] {
	return func(yield func(Object) bool) {
		for i := range v.objects {
			if !v.objects[i].Deleted && !yield(v.objects[i]) {
				return
			}
		}
	}
}

// Newest returns the revision of the newest change of an object. Unlike Revision it does not grow with other kinds.
func (v View) Newest() uint64 {
	var newest uint64
	for i := range v.objects {
		newest = max(newest, v.objects[i].Revision)
	}
	return newest
}

// Revision returns the store's revision up to which the view holds the changes.
func (v View) Revision() uint64 {
	return v.revision
}

// WithPage returns a view that holds the newer version of each object, and whether an object changed. A page of an
// earlier era changes nothing; the first one of a later era has to be complete and replaces all objects.
func (v View) WithPage(p Page) (View, bool) {
	switch {
	case p.Era > v.era && p.Complete:
		return v.restored(p), true
	case p.Era != v.era:
		return v, false
	}
	next := v
	next.revision = max(v.revision, p.Revision)
	if v.baseline > 0 && p.Baseline > 0 {
		next.baseline = min(v.baseline, p.Baseline)
	}
	if p.Complete && p.Revision > v.revision {
		next.deletionsSince = p.Revision
	}
	updates, changed := v.updates(p)
	changed = changed || next.baseline < v.baseline
	if len(updates) > 0 {
		next.objects = merged(v.objects, updates)
		next.trimDeleted()
	}
	return next, changed
}

// restored returns the view of a later era, given its first page.
func (v View) restored(p Page) View {
	next, _ := View{}.WithPage(Page{Revision: p.Revision, Complete: true, Objects: p.Objects})
	next.era, next.baseline, next.earlier = p.Era, cmp.Or(p.Baseline, p.Revision), make(map[string]Object, len(v.objects))
	maps.Copy(next.earlier, v.earlier)
	for _, o := range v.objects {
		// What the view held only from a copy is older than what the era before held.
		if _, known := v.earlier[o.Name]; !known || o.Revision > v.baseline {
			next.earlier[o.Name] = o
		}
	}
	return next
}

// find returns the position of an object among objects sorted by name, or the one where it belongs, and whether it is
// there.
func find(objects []Object, name string) (int, bool) {
	return slices.BinarySearchFunc(objects, name, func(o Object, name string) int { return strings.Compare(o.Name, name) })
}

// updates returns those objects of a page that are newer than the ones in the view, sorted by name, and whether any of
// them is a change; the deletion of an unknown object is stored but does not count as one.
func (v View) updates(p Page) ([]Object, bool) {
	var updates []Object
	changed := false
	for _, o := range p.Objects {
		i, known := find(v.objects, o.Name)
		switch {
		case known && !supersedes(o, v.objects[i]):
			continue
		case !o.Deleted && p.Revision < v.revision && o.Revision <= v.revision && (!known || v.objects[i].Deleted):
			continue // The object was deleted after the page was made, or the view would hold it.
		}
		if known && o.Deleted {
			o.Raw = v.objects[i].Raw
		}
		updates = append(updates, o)
		changed = changed || known || !o.Deleted
	}
	if p.Complete {
		deletions := v.unlisted(p)
		updates = append(updates, deletions...)
		changed = changed || len(deletions) > 0
	}
	slices.SortStableFunc(updates, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return newestByName(updates), changed
}

// unlisted returns deletions of the objects that a complete page lacks, except for those changed after its revision.
func (v View) unlisted(p Page) []Object {
	listed := make(map[string]bool, len(p.Objects)+len(p.Unchanged))
	for _, o := range p.Objects {
		listed[o.Name] = true
	}
	for _, name := range p.Unchanged {
		listed[name] = true
	}
	var deletions []Object
	for _, o := range v.objects {
		if !listed[o.Name] && !o.Deleted && o.Revision <= p.Revision {
			deletions = append(deletions, Object{Name: o.Name, Revision: p.Revision, Deleted: true, Raw: o.Raw})
		}
	}
	return deletions
}

// trimDeleted removes the oldest deleted objects beyond maxDeleted; the view must not be shared yet.
func (v *View) trimDeleted() {
	if len(v.objects) <= maxDeleted {
		return
	}
	var revisions []uint64
	for _, o := range v.objects {
		if o.Deleted {
			revisions = append(revisions, o.Revision)
		}
	}
	excess := len(revisions) - maxDeleted
	if excess <= 0 {
		return
	}
	slices.Sort(revisions)
	oldestKept := revisions[excess]
	v.deletionsSince = max(v.deletionsSince, oldestKept-1)
	v.objects = slices.DeleteFunc(v.objects, func(o Object) bool { return o.Deleted && o.Revision < oldestKept })
}

// merged returns the objects with updates put in place; both are sorted by name.
func merged(objects, updates []Object) []Object {
	next := make([]Object, 0, len(objects)+len(updates))
	copied := 0
	for _, update := range updates {
		i, known := find(objects[copied:], update.Name)
		next = append(append(next, objects[copied:copied+i]...), update)
		copied += i
		if known {
			copied++
		}
	}
	return append(next, objects[copied:]...)
}

// newestByName returns the newest version of each object, given versions sorted by name.
func newestByName(versions []Object) []Object {
	var newest []Object
	for _, o := range versions {
		last := len(newest) - 1
		switch {
		case last < 0 || newest[last].Name != o.Name:
			newest = append(newest, o)
		case supersedes(o, newest[last]):
			newest[last] = o
		}
	}
	return newest
}

// supersedes reports whether a version of an object replaces a known one. A deletion also replaces a version of the
// same revision: it may carry the revision of the object's last change.
func supersedes(update, known Object) bool {
	return update.Revision > known.Revision || update.Revision == known.Revision && update.Deleted && !known.Deleted
}
