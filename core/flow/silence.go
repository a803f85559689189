package flow

import "time"

const (
	// firstEventTimeout is the time allowed for the first event of a stream with an empty prompt.
	firstEventTimeout = 2 * time.Second
	// timeoutPerPromptToken is added to firstEventTimeout for each token of the prompt; an engine that runs nothing
	// else reads 8 tokens in that time.
	timeoutPerPromptToken = time.Millisecond
	// replicaEventTimeout is the time allowed for the first event of an attempt that starts from a replica; reading
	// the prompt again elsewhere takes a second or more.
	replicaEventTimeout = 1500 * time.Millisecond
	// domainLossProbeDelay is the shortest silence after which a target is probed when its failure domain has just
	// lost a target.
	domainLossProbeDelay = 120 * time.Millisecond
	// probeInterval is the least time between two probes, and the silence before the first one while the target reads
	// the prompt; most prompts are read by then.
	probeInterval = 1200 * time.Millisecond
	// domainLossProbeInterval replaces probeInterval when the failure domain has just lost a target.
	domainLossProbeInterval = 300 * time.Millisecond
)

// Silence is what is known of an attempt that waits for its first event or the next one.
type Silence struct {
	Begun        bool          // Begun tells that the attempt has had its first event.
	FromReplica  bool          // FromReplica tells that it started from a replica of the prompt's memory.
	PromptTokens int           // PromptTokens is the length of the prompt.
	DomainLoss   bool          // DomainLoss tells that the failure domain lost a target since the last event and probe.
	Pauses       PauseEstimate // Pauses estimates the pauses between two events.
}

// ProbeDelay returns the silence after which the target is probed.
func (s Silence) ProbeDelay() time.Duration {
	switch {
	case s.DomainLoss:
		return max(domainLossProbeDelay, s.Pauses.ProbeTimeout()/2)
	case s.Begun || s.FromReplica:
		return s.Pauses.ProbeTimeout()
	default:
		return probeInterval
	}
}

// ProbeInterval returns the least time between two probes.
func (s Silence) ProbeInterval() time.Duration {
	if s.DomainLoss {
		return domainLossProbeInterval
	}
	return probeInterval
}

// Timeout returns the silence that is longer than any pause which is to be expected.
func (s Silence) Timeout() time.Duration {
	switch {
	case s.Begun:
		return s.Pauses.CutTimeout()
	case s.FromReplica:
		return replicaEventTimeout
	default:
		return firstEventTimeout + time.Duration(s.PromptTokens)*timeoutPerPromptToken
	}
}
