package retry

import "time"

// seconds is the number of one-second buckets of a window.
const seconds = 10

// Bound is the most repeats that a window may hold.
type Bound struct {
	Ratio float64 // Ratio is the repeats allowed for each request.
	Slack int     // Slack is added to that, for windows with few requests.
}

// Window counts requests and repeats of the last seconds; its values are never changed after construction.
type Window struct {
	second   int64
	requests [seconds]int
	repeats  [seconds]int
}

// Count returns the requests and repeats of the window.
func (w Window) Count(now time.Duration) (requests, repeats int) {
	w = w.at(now)
	for i := range seconds {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return requests, repeats
}

// Left returns the number of repeats that are still allowed.
func (w Window) Left(now time.Duration, b Bound) int {
	requests, repeats := w.Count(now)
	return int(b.Ratio*float64(requests)) + b.Slack - repeats
}

// Overdraft bounds what one instance may send beyond its share while the fleet is far below its bound.
type Overdraft struct {
	Requests int // Requests and Repeats are those of all other instances, as they were some time ago.
	Repeats  int
	Fleet    Bound // Fleet is the bound of all instances.
	Own      Bound // Own is this instance's share.
}

const (
	idleShare = 0.5 // idleShare is the part of the fleet's bound below which instances may go beyond their share; what others send meanwhile has the other half.
	ownFactor = 4   // ownFactor bounds an instance to so many of its shares.
)

// WithOverdraft returns the window after one more repeat beyond the instance's share, or false when the fleet's use does not allow it.
func (w Window) WithOverdraft(now time.Duration, o Overdraft) (Window, bool) {
	w = w.at(now)
	requests, repeats := w.Count(now)
	fleet := o.Fleet.Ratio*float64(requests+o.Requests) + float64(o.Fleet.Slack)
	own := o.Own.Ratio*float64(requests) + float64(o.Own.Slack) + 1
	if float64(repeats+o.Repeats+1) > idleShare*fleet || float64(repeats+1) > ownFactor*own {
		return w, false
	}
	w.repeats[w.second%seconds]++
	return w, true
}

// WithRepeat returns the window after one more repeat, or false when the bound does not allow it.
func (w Window) WithRepeat(now time.Duration, b Bound) (Window, bool) {
	w = w.at(now)
	if w.Left(now, b) < 1 {
		return w, false
	}
	w.repeats[w.second%seconds]++
	return w, true
}

// WithRequest returns the window after one more request.
func (w Window) WithRequest(now time.Duration) Window {
	w = w.at(now)
	w.requests[w.second%seconds]++
	return w
}

// at returns the window moved on to a time on the steady clock.
func (w Window) at(now time.Duration) Window {
	second := int64(now / time.Second)
	for steps := 0; w.second < second && steps < seconds; steps++ {
		w.second++
		w.requests[w.second%seconds] = 0
		w.repeats[w.second%seconds] = 0
	}
	w.second = max(w.second, second)
	return w
}
