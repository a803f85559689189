package grace

import "time"

// Period is the time from the signal to stop until the process is killed.
type Period struct {
	began  time.Time
	length time.Duration
}

// NewPeriod returns the period of a length that begins with a signal.
func NewPeriod(began time.Time, length time.Duration) Period {
	return Period{began: began, length: length}
}

// Length returns the length of the period.
func (p Period) Length() time.Duration {
	return p.length
}

// Elapsed returns the time since the signal.
func (p Period) Elapsed(now time.Time) time.Duration {
	return now.Sub(p.began)
}

// Left returns the time until the process is killed.
func (p Period) Left(now time.Time) time.Duration {
	return p.length - p.Elapsed(now)
}
