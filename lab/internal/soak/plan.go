package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleywharf.example/platform/stand"
)

// When the faults of a plan start and how long they last.
const (
	firstFaultAt      = 500 * time.Millisecond
	minFaultLength    = 300 * time.Millisecond
	maxFaultLength    = 4 * time.Second
	meanFaultInterval = 700 * time.Millisecond // meanFaultInterval is shorter than most faults last, so that they overlap.
	recoveryPeriod    = 4 * time.Second        // recoveryPeriod is the time without new faults at the end, for recovery.
	meanDrillInterval = 6 * time.Second
	maxCopyAge        = 8 * time.Second
)

// Fault is the sealed set of the faults of a plan: Signal, StoreFault, LinkFault, Conduct, Revoke, Replace, Restart
// and Drill.
type Fault interface {
	isFault()
}

// Signal is a signal to the process of an instance.
type Signal string

// The signals of a plan.
const (
	Kill   Signal = "kill"
	Stop   Signal = "stop" // Stop is a planned stop with SIGTERM.
	Pause  Signal = "pause"
	Hangup Signal = "hangup"
)

// StoreFault makes the store fail for one instance, or for all.
type StoreFault struct {
	Fault  stand.Fault
	All    bool
	Deafen bool // Deafen leaves watches unanswered; the history of changes is dropped when the fault ends.
}

// LinkFault disturbs the connections to a target, or those of an instance to the store.
type LinkFault struct {
	Mode  Mode
	Store bool
}

// Conduct makes a target misbehave in the named way; behaviourOf lists the names.
type Conduct struct {
	Name string
}

// Revoke stores a configuration with another key.
type Revoke struct{}

// Replace removes a target after starting another one under a new name.
type Replace struct {
	Notice bool // Notice declares the target as draining for a while before it is removed.
}

// Restart restarts a target under a new name at its address; its entry in the store is updated when the fault ends.
type Restart struct{}

// Drill makes the store unavailable and restores a copy of the given age at the end of the fault.
type Drill struct {
	Age time.Duration
}

func (Signal) isFault()     {}
func (StoreFault) isFault() {}
func (LinkFault) isFault()  {}
func (Conduct) isFault()    {}
func (Revoke) isFault()     {}
func (Replace) isFault()    {}
func (Restart) isFault()    {}
func (Drill) isFault()      {}

// Event is a fault that starts at a time and lasts for a length. Thing selects the instance, proxy or target, modulo
// their number.
type Event struct {
	At     time.Duration
	Length time.Duration
	Thing  int
	Fault  Fault
}

// String describes the event.
func (e Event) String() string {
	return fmt.Sprintf("%.1fs %T%+v at %d for %.1fs", e.At.Seconds(), e.Fault, e.Fault, e.Thing, e.Length.Seconds())
}

// Plan returns the events of a seed for a run of a length; a seed always gives the same events.
func Plan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, seed))
	faults := []Fault{
		Kill, Stop, Pause, Hangup, Kill, Stop,
		StoreFault{Fault: stand.Silent}, StoreFault{Fault: stand.Busy}, StoreFault{Fault: stand.Lossy}, StoreFault{Fault: stand.Silent, All: true}, StoreFault{Deafen: true},
		LinkFault{Mode: Slow}, LinkFault{Mode: Cut}, LinkFault{Mode: Mute}, LinkFault{Mode: MuteBack}, LinkFault{Mode: Mute, Store: true}, LinkFault{Mode: Cut, Store: true},
		Conduct{Name: "cut"}, Conduct{Name: "mute"}, Conduct{Name: "reset"}, Conduct{Name: "shed"}, Conduct{Name: "stray"}, Conduct{Name: "short"}, Conduct{Name: "failed"},
		Revoke{}, Replace{}, Replace{Notice: true}, Restart{}, Restart{},
	}
	var events []Event
	for at := firstFaultAt; at < length-recoveryPeriod; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		events = append(events, Event{
			At:     at,
			Length: min(minFaultLength+time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength))), length-recoveryPeriod-at+minFaultLength),
			Thing:  rng.IntN(1 << 16),
			Fault:  faults[rng.IntN(len(faults))],
		})
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// Drills returns the returns of the store from copies for a seed and a run of a length. They are drawn apart from the plan,
// so that seeds which have shown something before still give the same plan.
func Drills(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	var events []Event
	for at := firstFaultAt; at < length-recoveryPeriod; at += maxFaultLength + time.Duration(rng.ExpFloat64()*float64(meanDrillInterval-maxFaultLength)) {
		events = append(events, Event{
			At:     at,
			Length: min(minFaultLength+time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength))), length-recoveryPeriod-at+minFaultLength),
			Fault:  Drill{Age: time.Duration(rng.Int64N(int64(maxCopyAge)))},
		})
	}
	return events
}
