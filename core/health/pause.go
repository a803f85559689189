package health

import "time"

const (
	// pauseMargin is the time after the begin of a pause in which requests that were sent before may still arrive; it is
	// less than the half a second in which they may.
	pauseMargin = 250 * time.Millisecond
	// maxPauseAsks is the number of requests that one instance may send to a target after that until the pause ends.
	maxPauseAsks = 2
)

// Pause is the time for which a target says that it refuses requests; its values are never changed after construction. The
// zero value is over.
type Pause struct {
	begin, end time.Time
	asks       int // requests sent after pauseMargin
}

// Holds reports whether the target refuses requests.
func (p Pause) Holds(now time.Time) bool {
	return now.Before(p.end)
}

// WithRefusal returns the pause after the target has said that it refuses requests for a time. An answer to a request that
// was sent before can extend the pause and not shorten it.
func (p Pause) WithRefusal(now time.Time, length time.Duration) Pause {
	end := now.Add(length)
	if !p.Holds(now) {
		return Pause{begin: now, end: end}
	}
	if end.After(p.end) {
		p.end = end
	}
	return p
}

// WithAsk returns the pause after a request to the target although it holds, and false if no more may be sent.
func (p Pause) WithAsk(now time.Time) (Pause, bool) {
	if !p.Holds(now) || now.Sub(p.begin) < pauseMargin {
		return p, true
	}
	p.asks++
	return p, p.asks <= maxPauseAsks
}
