package member

import (
	"maps"
	"slices"
	"strings"

	"bramleywharf.example/core/route"
)

// State says what is believed of a member; within one incarnation a higher state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

// String names the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Member is one instance as the fleet knows it; its values are never changed after construction.
type Member struct {
	Name          string `cbor:"1,keyasint"`
	Domain        string `cbor:"2,keyasint"`
	CallerAddress string `cbor:"3,keyasint"`
	PeerAddress   string `cbor:"4,keyasint"`
	Incarnation   uint64 `cbor:"5,keyasint"` // Incarnation grows with each start and each refuted suspicion; 0 is a listed member not yet heard of.
	State         State  `cbor:"6,keyasint"`
	Leaving       bool   `cbor:"7,keyasint,omitempty"` // Leaving holds until the incarnation changes.
}

// View is what one instance believes of all members.
type View struct {
	members map[string]Member
}

// All returns every member known, sorted by name.
func (v View) All() []Member {
	return slices.SortedFunc(maps.Values(v.members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// Callable returns the addresses for callers of the live members that are not leaving; when most seem lost, which is more likely a cut around the named one, those of all that are not leaving.
func (v View) Callable(self string, ready bool) []string {
	var live, all []string
	for _, m := range v.All() {
		if m.Leaving || m.Incarnation == 0 || m.Name == self && !ready {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Name == self || m.State == Alive {
			live = append(live, m.CallerAddress)
		}
	}
	if len(live)*2 <= len(all) {
		return all
	}
	return live
}

// Expected returns the number of members that should be there: all but those that ended after they had said that they were leaving.
func (v View) Expected() int {
	expected := 0
	for _, m := range v.members {
		if m.State != Dead || !m.Leaving {
			expected++
		}
	}
	return expected
}

// Get returns a member by name.
func (v View) Get(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}

// Len returns the number of members known, dead ones included.
func (v View) Len() int {
	return len(v.members)
}

// Live returns the members that are not dead, sorted by name.
func (v View) Live() []Member {
	var live []Member
	for _, m := range v.members {
		if m.State != Dead {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Neighbours returns the live members that the named one probes: a stable few, so that state does not grow with the fleet.
func (v View) Neighbours(self string, count int) []Member {
	var names []string
	for _, m := range v.members {
		if m.Name != self && m.State != Dead {
			names = append(names, m.Name)
		}
	}
	ranked := route.Rank("neighbour/"+self, names)
	if len(ranked) > count {
		ranked = ranked[:count]
	}
	neighbours := make([]Member, len(ranked))
	for i, n := range ranked {
		neighbours[i] = v.members[n]
	}
	return neighbours
}

// Open returns the members that callers may be sent to, as places.
func (v View) Open() []route.Place {
	var open []route.Place
	for _, m := range v.Live() {
		if !m.Leaving && m.State == Alive {
			open = append(open, route.Place{Name: m.Name, Domain: m.Domain})
		}
	}
	return open
}

// WithMember returns a view that believes the newer of what it knew and what it is told, and whether that changed it.
func (v View) WithMember(m Member) (View, bool) {
	old, known := v.members[m.Name]
	if known && !supersedes(m, old) {
		return v, false
	}
	next := View{members: maps.Clone(v.members)}
	if next.members == nil {
		next.members = make(map[string]Member)
	}
	if known && m.Incarnation == old.Incarnation {
		m.Leaving = m.Leaving || old.Leaving
		m.State = max(m.State, old.State)
	}
	next.members[m.Name] = m
	return next, true
}

// WithoutMember returns a view that has forgotten a member.
func (v View) WithoutMember(name string) View {
	if _, known := v.members[name]; !known {
		return v
	}
	next := View{members: maps.Clone(v.members)}
	delete(next.members, name)
	return next
}

// WithState returns a view in which a member of an incarnation has at least a state.
func (v View) WithState(name string, incarnation uint64, s State) (View, bool) {
	m, known := v.members[name]
	if !known || m.Incarnation != incarnation {
		return v, false
	}
	m.State = s
	return v.WithMember(m)
}

// supersedes tells whether what is told of a member is news.
func supersedes(told, known Member) bool {
	if told.Incarnation != known.Incarnation {
		return told.Incarnation > known.Incarnation
	}
	return told.State > known.State || (told.Leaving && !known.Leaving)
}
