package pool

import (
	"strings"

	"bramleywharf.example/entry/internal/engine"
)

const (
	prefixWords = 16   // prefixWords is the length of the prompt prefix that caches go by, in words.
	gapDoubt    = 0.5  // gapDoubt is what a gap in the events leaves of each belief.
	ownBelief   = 0.8  // ownBelief is the belief in a prefix that was routed there and not confirmed.
	maxBeliefs  = 1024 // maxBeliefs bounds the prefixes remembered for one target.
)

// cache is what is believed of one target's prompt cache; its values are never changed after construction.
type cache struct {
	sequence int // sequence is that of the last event taken.
	beliefs  map[string]float64
}

// Prefix returns the part of a prompt that caches go by.
func Prefix(prompt string) string {
	fields := strings.Fields(prompt)
	return strings.Join(fields[:min(len(fields), prefixWords)], " ")
}

// belief returns how sure it is that a prefix is cached, from 0 to 1.
func (c cache) belief(prefix string) float64 {
	return c.beliefs[prefix]
}

// copied returns the beliefs for change, weakened by a factor.
func (c cache) copied(factor float64) map[string]float64 {
	beliefs := make(map[string]float64, len(c.beliefs)+1)
	for prefix, belief := range c.beliefs {
		if len(beliefs) >= maxBeliefs {
			break
		}
		beliefs[prefix] = belief * factor
	}
	return beliefs
}

// withEvents returns the cache after late events, which may have gaps.
func (c cache) withEvents(events []engine.CacheEvent) cache {
	if len(events) == 0 {
		return c
	}
	factor := 1.0
	if events[0].Sequence > c.sequence+1 && c.sequence > 0 {
		factor = gapDoubt
	}
	next := cache{sequence: c.sequence, beliefs: c.copied(factor)}
	for _, e := range events {
		if e.Sequence <= next.sequence {
			continue
		}
		next.sequence = e.Sequence
		if e.Added {
			next.beliefs[e.Prefix] = 1
		} else {
			delete(next.beliefs, e.Prefix)
		}
	}
	return next
}

// withRouted returns the cache after a request with a prefix was sent to its target.
func (c cache) withRouted(prefix string) cache {
	if c.beliefs[prefix] >= ownBelief {
		return c
	}
	next := cache{sequence: c.sequence, beliefs: c.copied(1)}
	next.beliefs[prefix] = ownBelief
	return next
}
