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

// Left returns the number of repeats that are still allowed.
func (w Window) Left(now time.Duration, b Bound) int {
	w = w.at(now)
	requests, repeats := 0, 0
	for i := range seconds {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return int(b.Ratio*float64(requests)) + b.Slack - repeats
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
