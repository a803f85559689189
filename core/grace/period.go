package grace

import "time"

const (
	// maxMargin is the longest part of the period that is left for the shutdown after the last call.
	maxMargin = 700 * time.Millisecond
	// marginShare bounds that part to a share of the period. Calls may be ended only in the last sixth of the
	// period.
	marginShare = 0.15
	// answerShare is the part of the margin in which open calls are answered.
	answerShare = 2.0 / 7
	// withdrawShare is the part of the margin in which the instance is withdrawn; the rest is for closing what it holds.
	withdrawShare = 3.0 / 7

	// maxLameDuck is how long a leaving instance still accepts connections, so that callers find others first.
	maxLameDuck = 2500 * time.Millisecond
	// lameDuckShare bounds that time to a part of the period, since the last request has to be answered in the rest.
	lameDuckShare = 1.0 / 3
)

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

// LameDuck returns how long the instance still accepts connections.
func (p Period) LameDuck() time.Duration {
	return min(maxLameDuck, share(lameDuckShare, p.length))
}

// CallsEnd returns when the calls that are still open are ended.
func (p Period) CallsEnd() time.Time {
	return p.began.Add(p.length - p.margin())
}

// AnswerTime returns how long the answers to those calls may take.
func (p Period) AnswerTime() time.Duration {
	return share(answerShare, p.margin())
}

// WithdrawTime returns how long the removal of the instance's entry may take after them.
func (p Period) WithdrawTime() time.Duration {
	return share(withdrawShare, p.margin())
}

// margin returns the part of the period that is left for the shutdown after the last call.
func (p Period) margin() time.Duration {
	return min(maxMargin, share(marginShare, p.length))
}

func share(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}

// Elapsed returns the time since the signal.
func (p Period) Elapsed(now time.Time) time.Duration {
	return now.Sub(p.began)
}

// Left returns the time until the process is killed.
func (p Period) Left(now time.Time) time.Duration {
	return p.length - p.Elapsed(now)
}
