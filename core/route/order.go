package route

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RankedTargets is the number of targets that an Order ranks; all later ones share the next rank.
const RankedTargets = 4

// Order is the order of targets for a session by rendezvous hashing, which is the same on every instance; without a
// session it is random. Only the first few ranks matter, so the targets are not sorted.
type Order struct {
	scores []uint64
	ranked [RankedTargets]int // ranked holds the indexes of the first targets in the order; -1 is none.
	name   func(int) string
}

// NewOrder scores a number of targets for a session and ranks the first of them; name returns a target's name.
func NewOrder(session string, count int, name func(int) string) *Order {
	o := &Order{scores: make([]uint64, count), name: name}
	for rank := range o.ranked {
		o.ranked[rank] = -1
	}
	key := append([]byte(session), 0) // The hash of key and a name is Score of the two, without a digest for each target.
	prefix := len(key)
	for i := range count {
		if session == "" {
			o.scores[i] = rand.Uint64()
		} else {
			key = append(key[:prefix], name(i)...)
			o.scores[i] = xxhash.Sum64(key)
		}
		o.insert(i)
	}
	return o
}

// Rank returns the rank of the i-th target, or RankedTargets if it is not among the first.
func (o *Order) Rank(i int) int {
	if rank := slices.Index(o.ranked[:], i); rank >= 0 {
		return rank
	}
	return RankedTargets
}

// Score returns the score of the i-th target; a higher one comes first.
func (o *Order) Score(i int) uint64 {
	return o.scores[i]
}

// insert puts the i-th target into its rank if it is among the first.
func (o *Order) insert(i int) {
	for rank, other := range o.ranked {
		if other >= 0 && (o.scores[other] > o.scores[i] || o.scores[other] == o.scores[i] && o.name(other) < o.name(i)) {
			continue
		}
		copy(o.ranked[rank+1:], o.ranked[rank:])
		o.ranked[rank] = i
		return
	}
}
