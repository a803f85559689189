package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleywharf.example/platform/stand"
)

// The bounds of the pauses and lengths of faults.
const (
	firstFault  = 500 * time.Millisecond
	shortest    = 300 * time.Millisecond
	longest     = 4 * time.Second
	meanPause   = 700 * time.Millisecond // meanPause is the mean time between two faults, shorter than most last, so that they overlap.
	quietBefore = 4 * time.Second        // quietBefore is the time without new faults before the end, in which everything has to come back.
)

// Fault is the sealed set of what a plan does: Signal, StoreFault, LinkFault, Conduct, Revoke, Replace and Restart.
type Fault interface {
	isFault()
}

// Signal is what is done to a process.
type Signal string

// The signals of a plan.
const (
	Kill   Signal = "kill"
	Stop   Signal = "stop" // Stop is a planned stop.
	Pause  Signal = "pause"
	Hangup Signal = "hangup"
)

// StoreFault is how the store treats one instance, or all.
type StoreFault struct {
	Fault  stand.Fault
	All    bool
	Deafen bool // Deafen leaves watches unanswered and drops the history in the end.
}

// LinkFault is what happens on the link to a target or to the store.
type LinkFault struct {
	Mode  Mode
	Store bool
}

// Conduct is how a target answers for a while.
type Conduct struct {
	Name string
}

// Revoke brings a configuration with another key into force.
type Revoke struct{}

// Replace ends a target; another one starts under a new name.
type Replace struct {
	Notice bool // Notice tells that the target says that it leaves before.
}

// Restart starts a target again under a new name at its address; the store learns of it late.
type Restart struct{}

func (Signal) isFault()     {}
func (StoreFault) isFault() {}
func (LinkFault) isFault()  {}
func (Conduct) isFault()    {}
func (Revoke) isFault()     {}
func (Replace) isFault()    {}
func (Restart) isFault()    {}

// Event is a fault at a time, for a length, at the thing with a number.
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

// Plan returns the events of a seed for a run of a length.
func Plan(seed uint64, length time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, seed))
	faults := []Fault{
		Kill, Stop, Pause, Hangup, Kill, Stop,
		StoreFault{Fault: stand.Silent}, StoreFault{Fault: stand.Busy}, StoreFault{Fault: stand.Lossy}, StoreFault{Fault: stand.Silent, All: true}, StoreFault{Deafen: true},
		LinkFault{Mode: Slow}, LinkFault{Mode: Cut}, LinkFault{Mode: Mute}, LinkFault{Mode: MuteBack}, LinkFault{Mode: Mute, Store: true}, LinkFault{Mode: Cut, Store: true},
		Conduct{Name: "cut"}, Conduct{Name: "mute"}, Conduct{Name: "reset"}, Conduct{Name: "shed"}, Conduct{Name: "stray"}, Conduct{Name: "short"}, Conduct{Name: "failed"},
		Revoke{}, Replace{}, Replace{Notice: true}, Restart{}, Restart{},
	}
	var events []Event
	for at := firstFault; at < length-quietBefore; at += time.Duration(r.ExpFloat64() * float64(meanPause)) {
		events = append(events, Event{
			At:     at,
			Length: min(shortest+time.Duration(r.Int64N(int64(longest-shortest))), length-quietBefore-at+shortest),
			Thing:  r.IntN(1 << 16),
			Fault:  faults[r.IntN(len(faults))],
		})
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}
