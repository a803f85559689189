package flow

// MaxDeaths bounds the engines that one request may lose before it is refused as the likely cause.
const MaxDeaths = 3

// Policy is the sealed set of recovery policies: Latency, Thrift and Restart.
type Policy interface {
	isPolicy()
}

// Latency continues elsewhere as soon as an engine is suspected and races it against the old stream.
type Latency struct{}

// Thrift probes a suspected engine first and continues elsewhere only when its work is surely lost.
type Thrift struct{}

// Restart generates the whole answer again after any loss; it is the baseline that the others are measured against.
type Restart struct{}

func (Latency) isPolicy() {}
func (Thrift) isPolicy()  {}
func (Restart) isPolicy() {}

// ParsePolicy returns the policy of a name used in sheets; an empty name is latency.
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

// Signal is the sealed set of things learnt about a running attempt: Severed, Silent, Alive, Dead and Forgotten.
type Signal interface {
	isSignal()
}

// Severed says that the attempt's connection broke.
type Severed struct{}

// Silent says that no token came for longer than the engine's gaps explain.
type Silent struct{}

// Alive says that a probe on a fresh connection found the engine running the attempt.
type Alive struct{}

// Dead says that a probe on a fresh connection got no answer.
type Dead struct{}

// Forgotten says that the engine answered and does not know the attempt.
type Forgotten struct{}

func (Severed) isSignal()   {}
func (Silent) isSignal()    {}
func (Alive) isSignal()     {}
func (Dead) isSignal()      {}
func (Forgotten) isSignal() {}

// Step is the sealed set of recovery steps: Probe, Attach, Race, Continue, Regenerate, Wait and Abandon.
type Step interface {
	isStep()
}

// Probe asks the engine on a fresh connection whether it still runs the attempt.
type Probe struct{}

// Attach reads the running attempt again from the next offset on a fresh connection.
type Attach struct{}

// Race starts a continuation elsewhere and attaches to the old attempt at the same time.
type Race struct{}

// Continue starts a continuation elsewhere from the tokens so far.
type Continue struct{}

// Regenerate starts elsewhere from offset 0 and suppresses what was delivered.
type Regenerate struct{}

// Wait does nothing now; the engine is known to be alive and only slow.
type Wait struct{}

// Abandon refuses the request, since too many engines were lost under it.
type Abandon struct{}

func (Probe) isStep()      {}
func (Attach) isStep()     {}
func (Race) isStep()       {}
func (Continue) isStep()   {}
func (Regenerate) isStep() {}
func (Wait) isStep()       {}
func (Abandon) isStep()    {}

// Decide returns the next step after a signal, given the engines this request has lost so far.
func Decide(p Policy, s Signal, deaths int) Step {
	if loses(s) && deaths >= MaxDeaths {
		return Abandon{}
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

// loses tells whether a signal means that the engine's work is gone.
func loses(s Signal) bool {
	switch s.(type) {
	case Dead, Forgotten:
		return true
	default:
		return false
	}
}

// decideLatency spends engine work to shorten the gap.
func decideLatency(s Signal) Step {
	switch s.(type) {
	case Severed, Silent:
		return Race{}
	case Alive:
		return Attach{}
	default:
		return Continue{}
	}
}

// decideRestart treats every suspicion as a loss of all work.
func decideRestart(s Signal) Step {
	switch s.(type) {
	case Alive:
		return Wait{}
	default:
		return Regenerate{}
	}
}

// decideThrift spends time to keep the engine's work.
func decideThrift(s Signal) Step {
	switch s.(type) {
	case Severed, Silent:
		return Probe{}
	case Alive:
		return Attach{}
	default:
		return Continue{}
	}
}
