package grace

import "time"

const (
	recentCount = 32 // recentCount is the number of requests that an estimate rests on; streams differ by a factor of ten.
	minCount    = 3  // minCount is the number of requests without which there is no estimate.
)

// Lengths holds how long the last finished requests of a route took. Its values are never changed; the zero value has
// none.
type Lengths struct {
	recent [recentCount]time.Duration
	count  int // count is the number of requests so far.
}

// With returns the lengths with those of one more request.
func (l Lengths) With(length time.Duration) Lengths {
	l.recent[l.count%recentCount] = length
	l.count++
	return l
}

// Fits reports whether a request that has taken some time ends within the time left, more likely than not. Nothing is
// known of it while few requests have finished or none took as long; it then counts as one that ends.
func (l Lengths) Fits(taken, left time.Duration) bool {
	if l.count < minCount {
		return true
	}
	ended, longer := 0, 0
	for _, length := range l.recent[:min(l.count, recentCount)] {
		switch {
		case length > taken+left:
			longer++
		case length > taken:
			ended++
		}
	}
	return longer <= ended
}
