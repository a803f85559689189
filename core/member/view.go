package member

import (
	"maps"
	"slices"
	"strings"

	"bramleywharf.example/core/route"
)

// State is the last known state of a member; within one incarnation a higher state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the state's name.
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
	// Incarnation increases with each start and each refuted suspicion; 0 is a listed member without an update so far.
	Incarnation uint64 `cbor:"5,keyasint"`
	State       State  `cbor:"6,keyasint"`
	Leaving     bool   `cbor:"7,keyasint,omitempty"` // Leaving lasts until the incarnation changes.
}

// View is what one instance knows about all members; its values are never changed after construction.
type View struct {
	members map[string]Member
}

// All returns the known members, dead ones included, sorted by name.
func (v View) All() []Member {
	return slices.SortedFunc(maps.Values(v.members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// AtAddress returns the member at a peer address.
func (v View) AtAddress(peerAddress string) (Member, bool) {
	for _, m := range v.members {
		if m.PeerAddress == peerAddress {
			return m, true
		}
	}
	return Member{}, false
}

// Available returns the members that new callers may be sent to.
func (v View) Available() []route.Place {
	var available []route.Place
	for _, m := range v.Live() {
		if !m.Leaving && m.State == Alive {
			available = append(available, route.Place{Name: m.Name, Domain: m.Domain})
		}
	}
	return available
}

// MostStay reports whether at least half of the members are alive and not leaving, so that a caller that comes back most
// likely reaches one that stays.
func (v View) MostStay() bool {
	return 2*len(v.Available()) >= v.Len()
}

// CallerAddresses returns the caller addresses of the alive members that are not leaving, without self unless it is
// ready. If half of the members or more seem lost, self is more likely cut off, and the lost ones are included.
func (v View) CallerAddresses(self string, ready bool) []string {
	var alive, all []string
	for _, m := range v.All() {
		if m.Leaving || m.Incarnation == 0 || m.Name == self && !ready {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Name == self || m.State == Alive {
			alive = append(alive, m.CallerAddress)
		}
	}
	if len(alive)*2 <= len(all) {
		return all
	}
	return alive
}

// ExpectedCount returns the number of members that should be running: all but those that died after announcing that
// they were leaving.
func (v View) ExpectedCount() int {
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

// Impaired returns the members at a peer address that are suspect or dead, in no particular order.
func (v View) Impaired(peerAddress string) []Member {
	var impaired []Member
	for _, m := range v.members {
		if m.State != Alive && m.PeerAddress == peerAddress {
			impaired = append(impaired, m)
		}
	}
	return impaired
}

// IsAmongFirst reports whether a member is one of the first count of the alive members in rendezvous order for a key.
// It ranks no others: the check runs many times a second, and most members find count others before them early.
func (v View) IsAmongFirst(key, name string, count int) bool {
	if m, ok := v.members[name]; !ok || !m.isAlive() {
		return false
	}
	score := route.Score(key, name)
	preceding := 0
	for _, m := range v.members {
		if !m.isAlive() || m.Name == name {
			continue
		}
		if other := route.Score(key, m.Name); other > score || other == score && m.Name < name {
			preceding++
		}
		if preceding >= count {
			return false
		}
	}
	return count > 0
}

// isAlive reports whether the member is alive and has sent an update itself.
func (m Member) isAlive() bool {
	return m.State == Alive && m.Incarnation > 0
}

// Len returns the number of known members, dead ones included.
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

// LiveCount returns the number of members that are not dead.
func (v View) LiveCount() int {
	count := 0
	for _, m := range v.members {
		if m.State != Dead {
			count++
		}
	}
	return count
}

// Neighbours returns the live members that self probes: a stable few, so that its state does not grow with the fleet.
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

// UnheardCount returns the number of members that are listed but have sent no update that reached this view.
func (v View) UnheardCount() int {
	count := 0
	for _, m := range v.members {
		if m.State != Dead && m.Incarnation == 0 {
			count++
		}
	}
	return count
}

// WithMember returns a view with an update merged in, and whether that changed it.
func (v View) WithMember(update Member) (View, bool) {
	current, known := v.members[update.Name]
	if known && !supersedes(update, current) {
		return v, false
	}
	next := View{members: maps.Clone(v.members)}
	if next.members == nil {
		next.members = make(map[string]Member)
	}
	if known && update.Incarnation == current.Incarnation {
		update.Leaving = update.Leaving || current.Leaving
		update.State = max(update.State, current.State)
	}
	next.members[update.Name] = update
	return next, true
}

// WithoutMember returns a view without a member.
func (v View) WithoutMember(name string) View {
	if _, known := v.members[name]; !known {
		return v
	}
	next := View{members: maps.Clone(v.members)}
	delete(next.members, name)
	return next
}

// WithState returns a view in which a member has at least the given state if its incarnation is the given one, and
// whether that changed the view.
func (v View) WithState(name string, incarnation uint64, s State) (View, bool) {
	m, known := v.members[name]
	if !known || m.Incarnation != incarnation {
		return v, false
	}
	m.State = s
	return v.WithMember(m)
}

// supersedes reports whether an update about a member changes what is known about it.
func supersedes(update, current Member) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return update.State > current.State || (update.Leaving && !current.Leaving)
}
