package canary

import (
	"fmt"
	"time"
)

const (
	// exposeUse is the used part of the share of requests that a bad version may get. The rest is for what is counted late,
	// such as the retries of requests.
	exposeUse = 0.8
	// minReserve and reserveShare determine the time before the deadline at which all requests go to the new version. It
	// is as short as is safe, since a version may turn bad at any time before.
	minReserve   = 2 * time.Second
	reserveShare = 0.2
	// lastMoment is the part of the reserve after which a version is judged by the evidence that there is.
	lastMoment = 0.4
	// settleShare and maxSettle determine how long the other versions stay after all requests go to the new one, so that
	// all instances know it and short requests end. finishShare is the part of the reserve from which they do not stay any
	// longer, so that a status that a failure delays is still written in time.
	settleShare = 0.3
	maxSettle   = 3 * time.Second
	finishShare = 0.7
	// stageCount is the number of different parts of the new targets that get the share one after the other.
	stageCount = 3
	// minFinalResponses is the number of responses that a version needs to be taken at the last moment.
	minFinalResponses = 20
	// minRouteResponses is the number of responses that a version needs on a route, or a share of what its part of the
	// traffic would give, if that is less.
	minRouteResponses = 20
	routeTrafficShare = 0.3
	// slotMargin and memoryShare leave room at the new targets for changes of the traffic.
	slotMargin  = 1.2
	memoryShare = 0.9
)

// Step is the sealed set of next steps of a roll-out: Hold, Accept, SetShare, Move, Finish and RollBack.
type Step interface {
	isStep()
}

// Hold means to change nothing.
type Hold struct {
	Reason string
}

// Accept means to begin the roll-out of an order.
type Accept struct {
	Order  Order
	Reason string
}

// SetShare means to send a share of the requests to a part of the new targets.
type SetShare struct {
	Share  float64
	Stage  int
	Reason string
}

// Move means to send all new requests to the new version.
type Move struct {
	From   []string // From holds the other versions that have targets.
	Reason string
}

// Finish means that the targets of the other versions may end.
type Finish struct {
	Reason string
}

// RollBack means to send no requests to the new version.
type RollBack struct {
	Reason string
}

func (Hold) isStep()     {}
func (Accept) isStep()   {}
func (SetShare) isStep() {}
func (Move) isStep()     {}
func (Finish) isStep()   {}
func (RollBack) isStep() {}

// Capacity is what the targets of a service can take, and what they run.
type Capacity struct {
	Versions   []string // Versions holds the versions other than the new one that have targets and are not barred.
	OldTargets int      // OldTargets and OldSlots count targets of these versions.
	OldSlots   int
	NewTargets int // NewTargets and NewSlots count the ready targets of the new version.
	NewSlots   int // NewSlots is 0 if the targets do not declare slots.
	Memory     int // Memory is the capacity of one target in tokens, or 0 if it is unknown.
	Running    int // Running is the number of requests that run at all targets of the service.
}

// Situation is what a step is decided by.
type Situation struct {
	Expose   float64 // Expose is the share of the service's requests that a bad version may get.
	Order    *Order  // Order is the service's order, or nil if there is none.
	State    *State  // State is the stored state, or nil if there is none.
	Elapsed  time.Duration
	Evidence Evidence
	Recent   []Evidence // Recent holds the parts of the evidence of some recent times, in which a late fault shows.
	Capacity Capacity
}

// Decide returns the next step.
func Decide(s Situation) Step {
	state := s.State
	switch {
	case s.Order == nil && state == nil:
		return Hold{Reason: "there is no order"}
	case s.Order == nil && state.IsOpen():
		return RollBack{Reason: "the order was withdrawn"}
	case s.Order == nil:
		return Hold{Reason: "the order was withdrawn after its end"}
	case state == nil:
		return Accept{Order: *s.Order, Reason: "the order is the first one of the service"}
	case state.IsReplacedBy(*s.Order):
		return Accept{Order: *s.Order, Reason: "the order replaces an earlier one"}
	case state.Phase == Running:
		return decideRunning(s)
	case state.Phase == Moving:
		return decideMoving(s)
	default:
		return Hold{Reason: "the roll-out has ended"}
	}
}

// Condemn returns why the evidence is against the version of an open roll-out, if it is.
func (s Situation) Condemn() (Bad, bool) {
	var bad Bad
	ok := false
	switch s.State.Phase {
	case Running:
		bad, ok = s.verdict().(Bad)
	case Moving:
		for _, recent := range s.Recent {
			if bad, ok = JudgeAlone(s.Evidence, recent, s.State.To).(Bad); ok {
				break
			}
		}
	}
	return bad, ok
}

// verdict returns the worst verdict on the version by all evidence since the order and by that of recent times.
func (s Situation) verdict() Verdict {
	verdict := Judge(s.Evidence, s.State.To)
	for _, e := range s.Recent {
		verdict = worse(verdict, Judge(e, s.State.To))
	}
	return verdict
}

// decideRunning returns the step while a share of the requests goes to the new version.
func decideRunning(s Situation) Step {
	verdict := s.verdict()
	if bad, ok := verdict.(Bad); ok {
		return RollBack(bad)
	}
	switch {
	case len(s.Capacity.Versions) == 0 && s.Capacity.NewTargets > 0:
		return Move{Reason: "no other version has targets"}
	case s.Elapsed >= s.State.Duration:
		return RollBack{Reason: "the deadline has passed"}
	case s.Elapsed < s.State.decideAt():
		return decideShare(s)
	}
	isLast := s.Elapsed >= s.State.lastMoment()
	obstacle := s.obstacle(verdict)
	fresh, _ := s.Evidence.Split(s.State.To)
	_, isDoubtful := verdict.(Doubtful)
	switch {
	case obstacle == "":
		return Move{From: s.Capacity.Versions, Reason: "the version is as good as the others"}
	case !isLast:
		return Hold{Reason: obstacle}
	case isDoubtful || s.Capacity.obstacle(s.Evidence) != "" || fresh.Responses < minFinalResponses:
		return RollBack{Reason: "at the last moment: " + obstacle}
	default:
		return Move{From: s.Capacity.Versions, Reason: "nothing speaks against the version at the last moment, although " + obstacle}
	}
}

// decideShare returns the step before the decision is due.
func decideShare(s Situation) Step {
	stage := min(stageCount-1, int(stageCount*s.Elapsed/s.State.decideAt()))
	switch {
	case s.Capacity.NewTargets == 0 && s.State.Share == 0:
		return Hold{Reason: "the version has no targets"}
	case s.Capacity.NewTargets == 0:
		return SetShare{Share: 0, Stage: stage, Reason: "the version has no targets left"}
	case s.State.Share == 0:
		return SetShare{Share: exposeUse * s.Expose, Stage: stage, Reason: "the version has targets"}
	case s.State.Stage != stage:
		return SetShare{Share: exposeUse * s.Expose, Stage: stage, Reason: "other targets of the version take the share"}
	default:
		return Hold{Reason: "the decision is not due yet"}
	}
}

// decideMoving returns the step while all requests go to the new version and the other ones still run.
func decideMoving(s Situation) Step {
	if bad, ok := s.Condemn(); ok {
		return RollBack(bad)
	}
	if s.Elapsed < s.State.finishAt() {
		return Hold{Reason: "instances and requests are moving to the version"}
	}
	return Finish{Reason: "requests have moved to the version"}
}

// obstacle returns why all requests may not go to the new version yet, or an empty string.
func (s Situation) obstacle(verdict Verdict) string {
	if doubt, ok := verdict.(Doubtful); ok {
		return doubt.Reason
	}
	if lack := s.Capacity.obstacle(s.Evidence); lack != "" {
		return lack
	}
	return s.Evidence.gap(s.State.To, exposeUse*s.Expose)
}

// gap returns on which route the evidence of a version with a share is insufficient, or an empty string.
func (e Evidence) gap(version string, share float64) string {
	fresh, _ := e.Split(version)
	if fresh.Responses < minFinalResponses {
		return fmt.Sprintf("there are only %d responses of the version", fresh.Responses)
	}
	for route, domains := range e.pairs(version) {
		var whole pair
		for _, p := range domains {
			whole = whole.plus(p)
		}
		need := min(minRouteResponses, routeTrafficShare*share*float64(whole.old.Responses))
		if float64(whole.fresh.Responses) < need {
			return fmt.Sprintf("route %s: there are only %d responses of the version", route, whole.fresh.Responses)
		}
	}
	return ""
}

// obstacle returns what the new targets lack to take all requests, or an empty string.
func (c Capacity) obstacle(e Evidence) string {
	isEqual := c.NewTargets >= c.OldTargets && (c.NewSlots == 0 || c.NewSlots >= c.OldSlots)
	var all Tally
	for _, t := range e.tallies {
		all = all.Plus(t)
	}
	tokens := float64(c.Running) * float64(all.Tokens) / float64(max(1, all.Sent))
	switch {
	case c.NewTargets == 0:
		return "the version has no ready targets"
	case isEqual:
		return ""
	case c.NewSlots > 0 && slotMargin*float64(c.Running) > float64(c.NewSlots):
		return fmt.Sprintf("the ready targets of the version have %d slots for %d requests", c.NewSlots, c.Running)
	case c.Memory > 0 && tokens > memoryShare*float64(c.Memory)*float64(c.NewTargets):
		return fmt.Sprintf("the %d ready targets of the version lack the memory for %d requests", c.NewTargets, c.Running)
	default:
		return ""
	}
}

// reserve returns the time before the deadline at which all requests are to go to the new version.
func (s State) reserve() time.Duration {
	return max(minReserve, time.Duration(reserveShare*float64(s.Duration)))
}

// decideAt returns the time since the order from which all requests may go to the new version.
func (s State) decideAt() time.Duration {
	return max(0, s.Duration-s.reserve())
}

// lastMoment returns the time since the order at which the evidence has to do.
func (s State) lastMoment() time.Duration {
	return s.decideAt() + time.Duration(lastMoment*float64(s.Duration-s.decideAt()))
}

// finishAt returns the time since the order until which the other versions stay after all requests go to the new one.
func (s State) finishAt() time.Duration {
	reserve := float64(s.Duration - s.decideAt())
	settled := s.MovedAt + min(maxSettle, time.Duration(settleShare*reserve))
	return min(settled, s.decideAt()+time.Duration(finishShare*reserve))
}

// SaveInterval returns the time after which an open state is stored again, so that an instance that was not there knows
// the time since the order.
func (s State) SaveInterval() time.Duration {
	return min(5*time.Second, s.reserve()/2)
}

// IsReplacedBy reports whether the state belongs to an earlier order. The operator's write of an order removes the
// status, while a status is written by this system: a later revision with a status is that of the status.
func (s State) IsReplacedBy(o Order) bool {
	if o.Revision <= s.Order {
		return false
	}
	return o.To != s.To || o.Duration != s.Duration || o.Status == Status{}
}
