package admit

import "time"

const (
	// estimateShare is the part of the estimated wait that is taken for certain. An estimate that is too long would
	// refuse streams that can be served.
	estimateShare = 0.8
	// callerShare is the largest part of the time left for which callers wait before they come back.
	callerShare = 1.0 / 3
	// jitter is the largest part by which the time to come back is extended, so that callers that were refused together
	// do not come back together.
	jitter = 0.5
	// minRetryAfter is the shortest time to come back; a stream ends about each 100 ms at an instance under load.
	minRetryAfter = 100 * time.Millisecond
	// sendMargin is the mean time of a stream, in multiples, before whose deadline it is sent although no target has room.
	// It waits longer there than a mean one.
	sendMargin = 1.25
	// goalShare is the part of the objective in which a stream has to be sent; in the rest the target reads its prompt.
	goalShare = 0.5
)

// Request is a stream that has arrived.
type Request struct {
	Class        string // Class is the route of the stream.
	Organisation string
	Priority     int
	IsFirst      bool          // IsFirst tells that no stream of the service is more urgent than those of its priority.
	Bytes        int           // Bytes is the memory that the stream holds while it waits.
	Left         time.Duration // Left is the time until its deadline.
	Objective    time.Duration // Objective is the time until its first event that still counts as on time, or 0.
	Limit        time.Duration // Limit is the time until its first event has to come, or 0.
}

// Decision is the sealed set of decisions about a stream: Serve, Hold, Displace and Refuse.
type Decision interface {
	isDecision()
}

// Serve means to send the stream to a target now.
type Serve struct{}

// Hold means to wait in the queue.
type Hold struct {
	Ticket Ticket // Ticket is the place in the queue; its ID is given by the queue.
}

// Displace means to wait in the queue in the place of the stream that would be served last, which is sent now.
type Displace struct {
	Ticket Ticket
}

// Refuse means not to run the stream.
type Refuse struct {
	Reason     string
	RetryAfter time.Duration
	Wait       time.Duration // Wait is the estimated time until the stream would have found room.
}

func (Serve) isDecision()    {}
func (Hold) isDecision()     {}
func (Displace) isDecision() {}
func (Refuse) isDecision()   {}

// Decide returns what to do with a stream that arrives at a time, given the load of the targets, the streams that wait
// here and the pace of the service. draw is a random number of at least 0 and below 1.
//
// Without a pace or a load, the stream is served. So is one of the most urgent priority: targets run the more urgent
// streams of their queues first, so that it finds room there sooner than here, where the load is known late. Others are
// refused only if they could not end in time even if they waited for estimateShare of the estimated time and then took as
// long as the shortest recent stream, or if the queue is full of streams that come before them.
func Decide(r Request, l Load, q Queue, p Pace, maxBytes int, now time.Duration, draw float64) Decision {
	if !l.IsKnown() || !p.IsKnown() || r.IsFirst || l.Free > 0 && q.Len() == 0 {
		return Serve{}
	}
	t := Ticket{
		Class: r.Class, Organisation: r.Organisation, Priority: r.Priority, Bytes: r.Bytes, Arrived: now, Deadline: now + r.Left,
		Goal:   now + time.Duration(goalShare*float64(r.Objective)),
		Latest: now + r.Left - time.Duration(sendMargin*float64(p.Mean())),
	}
	if r.Limit > 0 {
		t.Latest = min(t.Latest, now+time.Duration(goalShare*float64(r.Limit)))
	}
	ahead := q.Ahead(t, now)
	wait := l.Wait(ahead, p.Mean())
	isFull := q.Len() >= MaxWaiting || q.Bytes()+r.Bytes > maxBytes
	isLast := isFull && ahead == q.Len()
	if l.IsBusy() {
		refuse := Refuse{RetryAfter: RetryAfter(wait, r.Left, draw), Wait: wait}
		if isHopeless(wait, p, r.Left) {
			refuse.Reason = "the stream would not end before its deadline"
			return refuse
		}
		if isLast {
			refuse.Reason = "too many streams wait for a target"
			return refuse
		}
	}
	switch {
	case t.Latest <= now || isLast:
		return Serve{}
	case isFull:
		return Displace{Ticket: t}
	default:
		return Hold{Ticket: t}
	}
}

// isHopeless reports whether a stream would not end in the time left even after estimateShare of the estimated wait, and
// if it took as long as the shortest recent one.
func isHopeless(wait time.Duration, p Pace, left time.Duration) bool {
	return time.Duration(estimateShare*float64(wait))+p.Least() > left
}

// RetryAfter returns when a caller that is refused is to come back: after the expected time until there is room, with
// jitter, but within the time for which callers wait.
func RetryAfter(wait, left time.Duration, draw float64) time.Duration {
	after := time.Duration(float64(max(wait, minRetryAfter)) * (1 + jitter*draw))
	return max(0, min(after, time.Duration(callerShare*float64(left))))
}
