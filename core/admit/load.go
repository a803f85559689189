package admit

import "time"

// memoryShare is the part of a target's memory up to which a stream is expected to begin at once; the rest is for what
// streams write.
const memoryShare = 0.9

// queueRoom is the number of streams that may wait at a target. Reports of its load are a second old and more, and it would
// be idle for that time after a stream has ended. With 0, TestPlay has up to 6 % fewer first events on time than if streams
// are sent at once, with 2 up to 1 % fewer.
const queueRoom = 2

// Target is what an instance knows of one target of a service.
type Target struct {
	Slots   int  // Slots is the number of streams that the target runs at a time.
	Memory  int  // Memory is its capacity in tokens.
	Streams int  // Streams counts the streams that all instances have there.
	Down    bool // Down tells that the target gets no new streams, as it is suspect or draining.
}

// Load is the load of the targets of a service, as one instance sees it.
type Load struct {
	Slots   int // Slots counts the slots of all targets that are not down.
	Streams int // Streams counts the streams of all instances at them.
	Free    int // Free counts the streams that fit in addition.
	Excess  int // Excess counts the streams that wait at targets, as they do not fit.
	Own     int // Own counts the streams of this instance.
	Fleet   int // Fleet counts the instances, this one included.
}

// WithSent returns the load with the streams that the other instances have sent since their reports, if each of them has
// sent as many for its part as this one.
func (l Load) WithSent(own int) Load {
	l.Free = max(0, l.Free-int(float64(own)*(1/l.share()-1)))
	return l
}

// WithMissing returns the load with the streams of instances whose reports are missing or too old, if each of them has as
// many as this one. What is only assumed takes room and is no reason to refuse streams.
func (l Load) WithMissing(instances int) Load {
	l.Free = max(0, l.Free-max(0, instances)*l.Own)
	return l
}

// NewLoad sums up targets. A target has room while one more stream fits into its slots and its memory, of which a stream
// takes tokens, and into its queue up to queueRoom.
func NewLoad(targets []Target, tokens, own, fleet int) Load {
	l := Load{Own: own, Fleet: max(1, fleet)}
	for _, t := range targets {
		if t.Down {
			continue
		}
		room := t.Slots
		if tokens > 0 && t.Memory > 0 {
			room = min(room, max(1, int(memoryShare*float64(t.Memory))/tokens))
		}
		l.Slots += t.Slots
		l.Streams += t.Streams
		l.Free += max(0, room+queueRoom-t.Streams)
		l.Excess += max(0, t.Streams-room)
	}
	return l
}

// IsKnown reports whether anything is known on which a decision can rest.
func (l Load) IsKnown() bool {
	return l.Slots > 0
}

// IsBusy reports whether streams may be refused: at least half of the slots are taken, or streams wait at targets. That they
// wait is an estimate, so that it has to be confirmed by a target unless IsHalfTaken holds.
func (l Load) IsBusy() bool {
	return l.IsHalfTaken() || l.Excess > 0
}

// IsHalfTaken reports whether at least half of the slots are taken.
func (l Load) IsHalfTaken() bool {
	return 2*l.Streams >= l.Slots
}

// share returns this instance's part of what the targets run.
func (l Load) share() float64 {
	equal := 1 / float64(max(1, l.Fleet))
	if l.Streams == 0 {
		return equal
	}
	return max(equal, min(1, float64(l.Own)/float64(l.Streams)))
}

// FreeHere returns how many of the waiting streams of this instance may be sent now. All instances see the same room at
// the same time, so each takes its part of it; draw is a random number of at least 0 and below 1 that rounds it.
func (l Load) FreeHere(draw float64) int {
	return int(l.share()*float64(l.Free) + draw)
}

// Wait estimates the time until a stream with others ahead of it finds room, given how long a stream takes. Each stream
// of this instance that ends leaves room for one of those that wait here.
func (l Load) Wait(ahead int, took time.Duration) time.Duration {
	if l.Free > ahead {
		return 0
	}
	running := max(1, l.share()*float64(l.Streams-l.Excess))
	behind := float64(ahead+1-l.Free) + l.share()*float64(l.Excess)
	return time.Duration(behind / running * float64(took))
}
