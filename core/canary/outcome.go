package canary

import "time"

// Outcome is the sealed set of ways in which an attempt at a target ends that say something about its version: Answered,
// Failed and GivenUp.
type Outcome interface {
	isOutcome()
}

// Answered means that the target answered; Latency is the time to the first event of a stream, or to the complete
// response.
type Answered struct {
	Latency time.Duration
}

// Failed means that the target answered with a 5xx status, or broke off its response while it goes on to accept
// connections.
type Failed struct {
	// Begun tells that Answered was recorded for the same response, as for a stream that broke off after its first event.
	Begun bool
}

// GivenUp means that the target had not answered after a time.
type GivenUp struct {
	After time.Duration
}

func (Answered) isOutcome() {}
func (Failed) isOutcome()   {}
func (GivenUp) isOutcome()  {}
