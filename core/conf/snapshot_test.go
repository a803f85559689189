package conf

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSnapshotNeverReverts checks that a page that is old, repeated or out of order never lowers the revision of
// the snapshot or of an entry.
func TestSnapshotNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSnapshot()
		for range rapid.IntRange(1, 30).Draw(t, "pages") {
			var changes []Entry
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				key := Key{Kind: KindModel, Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "name"))}
				changes = append(changes, Entry{Key: key, Revision: Revision(rapid.IntRange(1, 20).Draw(t, "revision")), Value: Model{}})
			}
			next := s.WithChanges(Revision(rapid.IntRange(0, 20).Draw(t, "page")), changes)
			if next.Revision() < s.Revision() {
				t.Fatalf("revision fell from %d to %d", s.Revision(), next.Revision())
			}
			for _, old := range s.Entries(0) {
				if current := next.entries[old.Key]; current.Revision < old.Revision {
					t.Fatalf("%v fell from %d to %d", old.Key, old.Revision, current.Revision)
				}
			}
			s = next
		}
	})
}

func TestAllows(t *testing.T) {
	l := Limit{Models: []string{"m", "n/a", "o/b@2"}}
	cases := map[string]struct {
		model, adapter, version string
		want                    bool
	}{
		"whole-model":     {"m", "x", "1", true},
		"granted-adapter": {"n", "a", "1", true},
		"other-adapter":   {"n", "b", "1", false},
		"base-of-adapter": {"n", "", "1", false},
		"granted-version": {"o", "b", "2", true},
		"other-version":   {"o", "b", "1", false},
		"unknown-model":   {"p", "", "", false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(l.Allows(test.model, test.adapter, test.version), quicktest.Equals, test.want)
		})
	}
}

func TestServiceCall(t *testing.T) {
	s := Service{Calls: []ServiceCall{{Method: "POST", Path: "/orders", NonIdempotent: true}, {Method: "POST", Path: "/orders/quotes"}}}
	cases := map[string]struct {
		method, path         string
		found, nonIdempotent bool
	}{
		"exact":        {"POST", "/orders", true, true},
		"below-path":   {"POST", "/orders/7", true, true},
		"longest-path": {"POST", "/orders/quotes/7", true, false},
		"other-method": {"GET", "/orders", false, false},
		"not-at-slash": {"POST", "/ordersx", false, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			call, found := s.Call(test.method, test.path)
			c.Assert(found, quicktest.Equals, test.found)
			c.Assert(call.NonIdempotent, quicktest.Equals, test.nonIdempotent)
		})
	}
}
