package retry

// Doubt is the sealed set of what is known of a silent target that has a request: Waits, Stalled and Lost.
type Doubt interface {
	isDoubt()
}

// Waits means that the request waits in the target's queue.
type Waits struct{}

// Stalled means that the target is silent for no known reason.
type Stalled struct{}

// Lost means that the target takes no connections or reports that it does not have the request.
type Lost struct{}

func (Waits) isDoubt()   {}
func (Stalled) isDoubt() {}
func (Lost) isDoubt()    {}

// OfferState is the sealed set of what is known of a target to which a request was offered while it stays with a silent
// one: Working, Queued, Unlisted, Unreported and Unheard.
type OfferState interface {
	isOfferState()
}

// Working means that the target works on the request.
type Working struct{}

// Queued means that the request waits in the target's queue.
type Queued struct{}

// Unlisted means that the target's report shows no such request; it may be older than the offer.
type Unlisted struct{}

// Unreported means that the target makes no reports; it has taken the request, since a full one refuses it at once.
type Unreported struct{}

// Unheard means that the target does not answer the question for its report.
type Unheard struct{}

func (Working) isOfferState()    {}
func (Queued) isOfferState()     {}
func (Unlisted) isOfferState()   {}
func (Unreported) isOfferState() {}
func (Unheard) isOfferState()    {}

// OverlapStep is the sealed set of what to do with a request that two targets have: Replace, Withdraw and Overlap.
type OverlapStep interface {
	isOverlapStep()
}

// Replace means to end the attempt at the silent target.
type Replace struct{}

// Withdraw means to end the attempt at the other target.
type Withdraw struct {
	Reason string
}

// Overlap means to let both attempts go on until one sends something.
type Overlap struct{}

func (Replace) isOverlapStep()  {}
func (Withdraw) isOverlapStep() {}
func (Overlap) isOverlapStep()  {}

// DecideOverlap returns what to do with a request that was offered to another target because of a doubt about its own. The
// silent attempt does not end before the other target works on the request, as far as that can be known, since the silent
// target may be sound.
func DecideOverlap(silent Doubt, other OfferState) OverlapStep {
	switch other.(type) {
	case Working, Unreported:
		return Replace{}
	}
	if _, ok := silent.(Lost); ok {
		return Overlap{}
	}
	switch other.(type) {
	case Unheard:
		return Withdraw{Reason: "the other target does not say whether it has begun"}
	case Queued:
		if _, ok := silent.(Waits); ok {
			return Withdraw{Reason: "requests wait at the other target too"}
		}
	}
	return Overlap{}
}
