package flow

import "time"

const (
	// maxFirstQueueWait bounds how long a queue explains that a stream has had no event, from when it is overdue.
	maxFirstQueueWait = 10 * time.Second
	// maxQueueWait bounds how long a queue explains a pause between two events, for which a target preempts a stream.
	maxQueueWait = 4 * time.Second
)

// Load is what a target reports of its work. It changes while the target makes progress.
type Load struct {
	Waiting int // Waiting counts the requests in its queue.
	Unread  int // Unread counts the requests that wait or whose prompt is being read.
	Events  int // Events counts the events of all runs that it lists.
}

// QueueWait is what a target's reports say of a stream that is overdue; its values are never changed after construction.
// All times are since the start of the attempt. The zero value is that of a stream that is not overdue.
type QueueWait struct {
	overdueAt time.Duration
	askedAt   time.Duration
	seenAt    time.Duration // when the stream was last found to wait, or 0
	load      Load
	isWaiting bool
}

// IsZero reports whether the target was not asked.
func (q QueueWait) IsZero() bool {
	return q.askedAt == 0
}

// IsDue reports whether the target is to be asked again.
func (q QueueWait) IsDue(now, interval time.Duration) bool {
	return q.IsZero() || now-q.askedAt >= interval
}

// WithReport returns the wait after a report. The stream waits if it may be in the queue and the target has made progress
// since the report before.
func (q QueueWait) WithReport(now time.Duration, mayWait bool, load Load) QueueWait {
	if q.IsZero() {
		q.overdueAt = now
	}
	q.isWaiting = mayWait && (q.IsZero() || load != q.load)
	if q.isWaiting {
		q.seenAt = now
	}
	q.askedAt, q.load = now, load
	return q
}

// Explains reports whether the queue explains that the stream is overdue: it waits, or has waited until it was last asked
// for and its prompt is being read, which takes readTime. hasBegun tells whether the stream has had events.
func (q QueueWait) Explains(now, readTime time.Duration, hasBegun bool) bool {
	limit := maxFirstQueueWait
	if hasBegun {
		limit = maxQueueWait
	}
	return now-q.overdueAt < limit && (q.isWaiting || q.seenAt > 0 && now-q.seenAt < readTime)
}
