package flow

// MaxLostEngines is the number of lost engines after which a request is still recovered. At the next loss it is
// refused, since the request itself is the likely cause.
const MaxLostEngines = 3

// Policy is the sealed set of recovery policies: Latency, Thrift and Restart.
type Policy interface {
	isPolicy()
}

// Latency continues on another engine as soon as one is suspect, and lets it race the old stream.
type Latency struct{}

// Thrift probes a suspect engine first and continues on another only if the probe shows that the work is lost, or lets
// it race the old stream if probes do not help.
type Thrift struct{}

// Restart generates the whole answer again after any failure; it is the baseline for comparing the others.
type Restart struct{}

func (Latency) isPolicy() {}
func (Thrift) isPolicy()  {}
func (Restart) isPolicy() {}

// ParsePolicy returns the policy with the given name in a sheet; the empty name means latency.
func ParsePolicy(name string) (Policy, bool) {
	switch name {
	case "", "latency":
		return Latency{}, true
	case "thrift":
		return Thrift{}, true
	case "restart":
		return Restart{}, true
	default:
		return nil, false
	}
}

// Signal is the sealed set of observations of a running attempt: Severed, Silent, Alive, Unanswered, Stalled, Dead and
// Forgotten.
type Signal interface {
	isSignal()
}

// Severed means that the attempt's connection broke.
type Severed struct{}

// Silent means that no token came within the timeout derived from earlier gaps.
type Silent struct{}

// Alive means that a probe over a new connection found the engine running the attempt.
type Alive struct{}

// Unanswered means that a probe over a new connection got no answer in time; a sound engine may pause that long.
type Unanswered struct{}

// Stalled means that probes keep finding the attempt running, but it sends no token.
type Stalled struct{}

// Dead means that the engine refuses connections, or that the attempt is not worth waiting for.
type Dead struct{}

// Forgotten means that the engine answered but does not know the attempt.
type Forgotten struct{}

func (Severed) isSignal()    {}
func (Silent) isSignal()     {}
func (Alive) isSignal()      {}
func (Unanswered) isSignal() {}
func (Stalled) isSignal()    {}
func (Dead) isSignal()       {}
func (Forgotten) isSignal()  {}

// Step is the sealed set of recovery steps: Probe, Attach, Race, Continue, Regenerate, Wait and Abandon.
type Step interface {
	isStep()
}

// Probe asks the engine over a new connection whether it still runs the attempt.
type Probe struct{}

// Attach reads the running attempt from the next offset over a new connection.
type Attach struct{}

// Race starts a continuation on another engine and attaches to the old attempt at the same time.
type Race struct{}

// Continue starts a continuation on another engine from the tokens so far.
type Continue struct{}

// Regenerate starts on another engine from offset 0 and suppresses the tokens already delivered.
type Regenerate struct{}

// Wait does nothing for now, since the engine is alive and only slow.
type Wait struct{}

// Abandon refuses the request, since it has lost too many engines.
type Abandon struct{}

func (Probe) isStep()      {}
func (Attach) isStep()     {}
func (Race) isStep()       {}
func (Continue) isStep()   {}
func (Regenerate) isStep() {}
func (Wait) isStep()       {}
func (Abandon) isStep()    {}

// Decide returns the next step after a signal, given how many engines the request has lost before.
func Decide(p Policy, s Signal, lostEngines int) Step {
	if lostEngines >= MaxLostEngines {
		switch {
		case isLoss(s):
			return Abandon{}
		case isDoubt(s):
			return decideLastDoubt(p)
		}
	}
	switch p.(type) {
	case Restart:
		return decideRestart(s)
	case Thrift:
		return decideThrift(s)
	default:
		return decideLatency(s)
	}
}

// isLoss reports whether a signal means that the engine's work is lost.
func isLoss(s Signal) bool {
	switch s.(type) {
	case Dead, Forgotten:
		return true
	default:
		return false
	}
}

// isDoubt reports whether a signal leaves open if the engine's work is lost.
func isDoubt(s Signal) bool {
	switch s.(type) {
	case Unanswered, Stalled:
		return true
	default:
		return false
	}
}

// decideLastDoubt keeps an attempt in doubt whose loss would be one too many.
func decideLastDoubt(p Policy) Step {
	switch p.(type) {
	case Restart:
		return Abandon{}
	default:
		return Wait{}
	}
}

// decideLatency spends additional engine work to shorten the interruption.
func decideLatency(s Signal) Step {
	switch s.(type) {
	case Severed, Silent, Unanswered, Stalled:
		return Race{}
	case Alive:
		return Attach{}
	default:
		return Continue{}
	}
}

// decideRestart treats every signal but Alive as the loss of all work.
func decideRestart(s Signal) Step {
	switch s.(type) {
	case Alive:
		return Wait{}
	default:
		return Regenerate{}
	}
}

// decideThrift accepts a longer interruption to keep the engine's work.
func decideThrift(s Signal) Step {
	switch s.(type) {
	case Severed, Silent:
		return Probe{}
	case Alive:
		return Attach{}
	case Unanswered, Stalled:
		return Race{}
	default:
		return Continue{}
	}
}
