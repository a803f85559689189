package mirror

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestPeersMatchStore checks that a view which has reached a revision through lists, watches and the pages of peers holds
// just the objects that the store held at that revision, however often views are lost and built anew from a list.
func TestPeersMatchStore(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]uint64{{}} // history holds the revision of each object at each of the store's revisions.
		var events []Object
		views := make([]View, 3)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(views)-1).Draw(t, fmt.Sprint("view-", step))
			latest := uint64(len(history) - 1)
			switch action := rapid.SampledFrom([]string{"put", "delete", "list", "watch", "pull", "restart"}).Draw(t, fmt.Sprint("step-", step)); action {
			case "put", "delete":
				name := rapid.SampledFrom(names).Draw(t, "name")
				if _, exists := history[latest][name]; action == "delete" && !exists {
					continue
				}
				events = append(events, Object{Name: name, Revision: latest + 1, Deleted: action == "delete"})
				history = append(history, with(history[latest], events[len(events)-1]))
			case "list":
				views[i], _ = views[i].WithPage(listAt(history, rapid.Uint64Range(latest/2, latest).Draw(t, "list-revision")))
			case "watch":
				views[i], _ = views[i].WithPage(Page{Revision: latest, Objects: events[views[i].Revision():]})
			case "pull":
				peer := rapid.IntRange(0, len(views)-1).Draw(t, "peer")
				views[i], _ = views[i].WithPage(views[peer].ChangesSince(views[i].Revision()))
			case "restart":
				views[i] = View{}
			}
			for number, v := range views {
				checkLive(t, number, v, history[v.Revision()])
			}
		}
	})
}

// checkLive fails the test unless a view holds just the wanted objects at their revisions.
func checkLive(t *rapid.T, number int, v View, want map[string]uint64) {
	count := 0
	for o := range v.Live() {
		count++
		if want[o.Name] != o.Revision {
			t.Fatalf("view %d at revision %d holds %s at revision %d, want %d", number, v.Revision(), o.Name, o.Revision, want[o.Name])
		}
	}
	if count != len(want) {
		t.Fatalf("view %d at revision %d holds %d objects, want %d", number, v.Revision(), count, len(want))
	}
}

// listAt returns a list of all objects at a revision.
func listAt(history []map[string]uint64, revision uint64) Page {
	p := Page{Revision: revision, Complete: true}
	for name, changed := range history[revision] {
		p.Objects = append(p.Objects, Object{Name: name, Revision: changed})
	}
	return p
}

// with returns the objects after a change.
func with(objects map[string]uint64, change Object) map[string]uint64 {
	next := maps.Clone(objects)
	delete(next, change.Name)
	if !change.Deleted {
		next[change.Name] = change.Revision
	}
	return next
}
