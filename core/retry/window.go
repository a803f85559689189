package retry

import "time"

// windowSeconds is the length of a window, which has one bucket per second.
const windowSeconds = 10

// Bound is the largest number of retries in a window.
type Bound struct {
	Ratio float64 // Ratio is the number of retries allowed per request.
	Slack int     // Slack is added to that, for windows with few requests.
}

// Window counts the requests and retries of the last seconds; its values are never changed after construction.
type Window struct {
	second   int64 // of the newest bucket
	requests [windowSeconds]int
	retries  [windowSeconds]int
}

// Counts returns the number of requests and of retries in the window.
func (w Window) Counts(now time.Duration) (requests, retries int) {
	w = w.advancedTo(now)
	for i := range windowSeconds {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests, retries
}

// RetriesLeft returns the number of retries that are still allowed.
func (w Window) RetriesLeft(now time.Duration, b Bound) int {
	requests, retries := w.Counts(now)
	return int(b.Ratio*float64(requests)) + b.Slack - retries
}

// Overdraft bounds the retries of one instance beyond its share while all instances together are far below their bound.
type Overdraft struct {
	Requests int // Requests and Retries are those of all other instances, as last reported.
	Retries  int
	Fleet    Bound // Fleet is the bound of all instances together.
	Own      Bound // Own is this instance's share.
}

const (
	maxFleetShare = 0.5 // part of the fleet's bound open to overdrafts; the rest is for retries not reported yet
	maxOwnFactor  = 4   // bounds an instance to this many times its share
)

// WithOverdraft returns the window after one more retry beyond the instance's share, or false if the overdraft does not
// allow it.
func (w Window) WithOverdraft(now time.Duration, o Overdraft) (Window, bool) {
	w = w.advancedTo(now)
	requests, retries := w.Counts(now)
	fleetBound := o.Fleet.Ratio*float64(requests+o.Requests) + float64(o.Fleet.Slack)
	ownBound := o.Own.Ratio*float64(requests) + float64(o.Own.Slack) + 1
	if float64(retries+o.Retries+1) > maxFleetShare*fleetBound || float64(retries+1) > maxOwnFactor*ownBound {
		return w, false
	}
	w.retries[w.second%windowSeconds]++
	return w, true
}

// WithRequest returns the window after one more request.
func (w Window) WithRequest(now time.Duration) Window {
	w = w.advancedTo(now)
	w.requests[w.second%windowSeconds]++
	return w
}

// WithRetry returns the window after one more retry, or false if the bound does not allow it.
func (w Window) WithRetry(now time.Duration, b Bound) (Window, bool) {
	w = w.advancedTo(now)
	if w.RetriesLeft(now, b) < 1 {
		return w, false
	}
	w.retries[w.second%windowSeconds]++
	return w, true
}

// WithoutRetry returns the window without the newest of its retries, one that was counted but not sent.
func (w Window) WithoutRetry(now time.Duration) Window {
	w = w.advancedTo(now)
	for age := range int64(windowSeconds) {
		if second := w.second - age; second >= 0 && w.retries[second%windowSeconds] > 0 {
			w.retries[second%windowSeconds]--
			return w
		}
	}
	return w
}

// advancedTo returns the window moved forward to a time on the monotonic clock.
func (w Window) advancedTo(now time.Duration) Window {
	second := int64(now / time.Second)
	for steps := 0; w.second < second && steps < windowSeconds; steps++ {
		w.second++
		w.requests[w.second%windowSeconds] = 0
		w.retries[w.second%windowSeconds] = 0
	}
	w.second = max(w.second, second)
	return w
}
