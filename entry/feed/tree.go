package feed

import (
	"math/rand/v2"
	"slices"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/route"
)

// pickPeer returns the address of a member to pull from. The members form a tree for each role, below its watchers,
// which rank first: a member pulls from a random one of the first rank/fanOut members, or of the watchers.
func (s *Swap) pickPeer(members Members) (string, bool) {
	self := members.Self()
	var alive []string
	for _, m := range members.View().Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			alive = append(alive, m.Name)
		}
	}
	s.pullCount++
	s.fleetSize = len(alive)
	ranking := route.Rank(s.roles[s.pullCount%len(s.roles)], alive)
	rank := slices.Index(ranking, self.Name)
	sources := ranking[:min(max(watcherCount, (rank+fanOut-1)/fanOut), len(ranking))]
	sources = slices.DeleteFunc(slices.Clone(sources), func(name string) bool { return name == self.Name })
	if len(sources) == 0 {
		return "", false
	}
	m, ok := members.View().Get(randomNear(members.View(), self.Domain, sources))
	return m.PeerAddress, ok
}

// randomNear returns a random name of the own failure domain, since traffic between domains is billed, or any name
// when there is none.
func randomNear(view member.View, domain string, names []string) string {
	near := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		m, _ := view.Get(name)
		return m.Domain != domain
	})
	if len(near) == 0 {
		near = names
	}
	return near[rand.IntN(len(near))]
}
