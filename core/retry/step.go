package retry

// Step is the sealed set of what to do with a request whose target is silent for longer than expected: Move and Stay.
type Step interface {
	isStep()
}

// Move means to send the request to another target; a retry is reserved for it.
type Move struct{}

// Stay means to go on waiting for the target, since the request cannot go anywhere else.
type Stay struct {
	Reason string
}

func (Move) isStep() {}
func (Stay) isStep() {}

// Outlook tells whether a request can go to another target.
type Outlook interface {
	// MayRetry reports whether the route allows another attempt.
	MayRetry() bool
	// HasAlternative reports whether another target can take the request.
	HasAlternative() bool
	// Reserve reserves a retry, unless the bound on retries is reached.
	Reserve() bool
}

// Decide returns the step for a request with an outlook. It reserves a retry only for a request that moves.
func Decide(o Outlook) Step {
	switch {
	case !o.MayRetry():
		return Stay{Reason: "its attempts are used up"}
	case !o.HasAlternative():
		return Stay{Reason: "no other target can take the request"}
	case !o.Reserve():
		return Stay{Reason: "the retry bound is reached"}
	default:
		return Move{}
	}
}
