package conns

import "time"

// headBytes is the number of bytes for which net/http waits on an idle connection before its header timeout applies.
const headBytes = 4

// phase is the sealed set of what a connection is doing: fresh, busy, idle, reading and closed.
type phase interface {
	isPhase()
}

// fresh means that no byte has arrived yet.
type fresh struct {
	since time.Time
}

// busy means that bytes of a request have arrived and its answer is not complete.
type busy struct{}

// idle means that the last request was answered.
type idle struct {
	since time.Time
	limit time.Duration // limit is the idle limit that the head of the last answer was based on; 0 means none.
}

// reading means that fewer than headBytes bytes have arrived since the last answer: a request begins, or they are stray.
type reading struct {
	idle  idle
	since time.Time // since is when the last of them arrived.
	bytes int
}

// closed means that this instance has closed the connection.
type closed struct{}

func (fresh) isPhase()   {}
func (busy) isPhase()    {}
func (idle) isPhase()    {}
func (reading) isPhase() {}
func (closed) isPhase()  {}

// received returns the phase that follows p when n bytes arrive.
func received(p phase, n int, now time.Time) phase {
	switch p := p.(type) {
	case idle:
		return received(reading{idle: p}, n, now)
	case reading:
		if p.bytes+n >= headBytes {
			return busy{}
		}
		return reading{idle: p.idle, since: now, bytes: p.bytes + n}
	case closed:
		return p
	}
	return busy{}
}

// rule is the sealed set of reasons to close a connection that carries no request: overLimit, leaving and draining.
type rule interface {
	isRule()
}

// overLimit closes connections that are idle for longer than a limit, unless a request has begun to arrive.
type overLimit struct {
	limit time.Duration // limit is the idle limit in force; 0 means none.
	head  time.Duration // head is how long a caller may take to send the head of a request.
}

// leaving closes idle connections.
type leaving struct{}

// draining closes idle connections, and those on which nothing, or nothing more, has arrived for settleTime.
type draining struct{}

func (overLimit) isRule() {}
func (leaving) isRule()   {}
func (draining) isRule()  {}

// allowsClose reports whether a rule closes a connection in a phase.
func allowsClose(r rule, p phase, now time.Time) bool {
	switch r := r.(type) {
	case overLimit:
		switch p := p.(type) {
		case idle:
			// A caller may reuse the connection for as long as it was told when it got its last answer, or is told now.
			return p.limit > 0 && r.limit > 0 && now.Sub(p.since) > max(p.limit, r.limit)
		case reading:
			return allowsClose(r, p.idle, now) && now.Sub(p.since) > r.head
		}
	case leaving:
		_, ok := p.(idle)
		return ok
	case draining:
		switch p := p.(type) {
		case fresh:
			return now.Sub(p.since) > settleTime
		case reading:
			return now.Sub(p.since) > settleTime
		case idle:
			return true
		}
	}
	return false
}
