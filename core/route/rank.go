package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names by rendezvous hashing with a key. The same key gives the same order on every instance, and removing
// a name keeps the order of the others.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	ranked := make([]scored, len(names))
	for i, n := range names {
		ranked[i] = scored{name: n, score: Score(key, n)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return strings.Compare(a.name, b.name)
		}
	})
	order := make([]string, len(ranked))
	for i, r := range ranked {
		order[i] = r.name
	}
	return order
}

// Score returns the rendezvous hash of a name for a key.
func Score(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
