package conns

import "time"

// phase is the sealed set of what a connection is doing: fresh, busy, idle and closed.
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
	limit time.Duration // limit is the idle limit that was in force when the connection became idle; 0 means none.
}

// closed means that this instance has closed the connection.
type closed struct{}

func (fresh) isPhase()  {}
func (busy) isPhase()   {}
func (idle) isPhase()   {}
func (closed) isPhase() {}

// rule is the sealed set of reasons to close a connection that carries no request: overLimit, leaving and draining.
type rule interface {
	isRule()
}

// overLimit closes connections that are idle for longer than a limit.
type overLimit struct {
	limit time.Duration // limit is the idle limit in force; 0 means none.
}

// leaving closes idle connections.
type leaving struct{}

// draining closes idle connections, and new ones on which nothing has arrived for settleTime.
type draining struct{}

func (overLimit) isRule() {}
func (leaving) isRule()   {}
func (draining) isRule()  {}

// allowsClose reports whether a rule closes a connection in a phase.
func allowsClose(r rule, p phase, now time.Time) bool {
	switch r := r.(type) {
	case overLimit:
		i, ok := p.(idle)
		if !ok || i.limit <= 0 || r.limit <= 0 {
			return false
		}
		// A caller may reuse the connection for as long as it was told when it got its last answer, or is told now.
		return now.Sub(i.since) > max(i.limit, r.limit)
	case leaving:
		_, ok := p.(idle)
		return ok
	case draining:
		switch p := p.(type) {
		case fresh:
			return now.Sub(p.since) > settleTime
		case idle:
			return true
		}
	}
	return false
}
