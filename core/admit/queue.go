package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the streams that wait at one instance.
	MaxWaiting = 256
	// agingShare is the part of the mean rate of service below which a class or organisation is served next. It is a
	// little more than the quarter that is promised, since one stream at a time is served.
	agingShare = 0.3
	// tallyLength is the number of streams from which older ones count half.
	tallyLength = 200
	// minTally is the count below which a group is forgotten.
	minTally = 0.4
	// sentWindow is the longest age of load reports, and maxSent the number of sends in it that are counted.
	sentWindow = 5 * time.Second
	maxSent    = 256
	// sendInterval is the time after which a stream is sent although no room is known. Reports are up to some seconds
	// old, and a load that is wrong must not stop the streams that wait.
	sendInterval = 2 * time.Second
)

// Ticket is a stream that waits. Times are on the clock of the caller, which starts at 0.
type Ticket struct {
	ID           uint64
	Class        string // Class is the route of the stream.
	Organisation string
	Priority     int // Priority ranks streams; 0 is the most urgent.
	Bytes        int // Bytes is the memory that the stream holds while it waits.
	Arrived      time.Duration
	Deadline     time.Duration
	Goal         time.Duration // Goal is until when the stream has to be sent for its first event to be on time.
	Latest       time.Duration // Latest is until when it has to be sent to end before its deadline.
}

// groups returns the keys under which a ticket is counted for aging.
func (t Ticket) groups() [2]string {
	return [2]string{"class " + t.Class, "organisation " + t.Organisation}
}

// tally counts the recent streams of a group.
type tally struct {
	arrived, served float64
}

// rate returns the part of the streams that is served if some more are.
func (t tally) rate(more float64) float64 {
	return (t.served + more) / max(1, t.arrived)
}

// Queue holds the streams that wait at one instance for targets of a service. It is immutable; the zero value is empty.
type Queue struct {
	tickets []Ticket // in order of arrival
	tallies map[string]tally
	all     tally
	bytes   int
	next    uint64          // next is the ID of the next ticket.
	sentAt  time.Duration   // sentAt is when a stream was last sent, or when the queue was last empty.
	sent    []time.Duration // sent holds when the streams of the last sentWindow were sent.
}

// Len returns the number of streams that wait.
func (q Queue) Len() int {
	return len(q.tickets)
}

// Bytes returns the memory that the waiting streams hold.
func (q Queue) Bytes() int {
	return q.bytes
}

// Ahead returns how many of the waiting streams are served before a ticket, apart from aging.
func (q Queue) Ahead(t Ticket, now time.Duration) int {
	ahead := 0
	for _, other := range q.tickets {
		if compare(other, t, now) <= 0 {
			ahead++
		}
	}
	return ahead
}

// WithTicket returns a queue with one more ticket, and that ticket with its ID.
func (q Queue) WithTicket(t Ticket) (Queue, Ticket) {
	t.ID = q.next
	q.next++
	if len(q.tickets) == 0 {
		q.sentAt = t.Arrived
	}
	q.tickets = append(slices.Clone(q.tickets), t)
	q.bytes += t.Bytes
	return q.counted(t, tally{arrived: 1}), t
}

// WithoutNext returns a queue without the ticket that is served next, and that ticket. A group that was served at less
// than agingShare of the mean rate comes first, the one with the lowest rate before the others.
func (q Queue) WithoutNext(now time.Duration) (Queue, Ticket, bool) {
	if len(q.tickets) == 0 {
		return q, Ticket{}, false
	}
	best, bestRate := -1, 0.0
	for i, t := range q.tickets {
		rate := q.agingRate(t)
		if best < 0 || rate < bestRate || rate == bestRate && compare(t, q.tickets[best], now) < 0 {
			best, bestRate = i, rate
		}
	}
	t := q.tickets[best]
	return q.without(best).counted(t, tally{served: 1}), t, true
}

// WithoutDue returns a queue without the tickets that have to be sent now to end in time, and those tickets.
func (q Queue) WithoutDue(now time.Duration) (Queue, []Ticket) {
	var due []Ticket
	for i := 0; i < len(q.tickets); {
		t := q.tickets[i]
		if t.Latest > now {
			i++
			continue
		}
		q = q.without(i).counted(t, tally{served: 1})
		due = append(due, t)
	}
	return q, due
}

// WithoutLast returns a queue without the ticket that is served last, and that ticket.
func (q Queue) WithoutLast(now time.Duration) (Queue, Ticket) {
	last := 0
	for i, t := range q.tickets {
		if compare(t, q.tickets[last], now) > 0 {
			last = i
		}
	}
	t := q.tickets[last]
	return q.without(last).counted(t, tally{served: 1}), t
}

// WithSent returns a queue that has recorded a stream that was sent without waiting.
func (q Queue) WithSent(now time.Duration) Queue {
	return q.recorded(now, 1)
}

// recorded returns a queue that has recorded streams that were sent.
func (q Queue) recorded(now time.Duration, count int) Queue {
	recent := q.sent
	for len(recent) > 0 && (now-recent[0] > sentWindow || len(recent) >= maxSent) {
		recent = recent[1:]
	}
	q.sent = slices.Concat(recent, slices.Repeat([]time.Duration{now}, count))
	return q
}

// SentSince returns how many streams were sent after a time.
func (q Queue) SentSince(at time.Duration) int {
	i, _ := slices.BinarySearch(q.sent, at+1)
	return len(q.sent) - i
}

// Dispatch returns a queue without the tickets whose streams are sent now, and those tickets: the ones that have to be
// sent to end in time, and as many of the others as the targets have room for, or one in sendInterval. Of those that have
// to be sent, it returns the ones apart that would not end in time behind the streams that wait at targets.
func (q Queue) Dispatch(l Load, p Pace, now time.Duration, draw float64) (next Queue, sent, hopeless []Ticket) {
	if !l.IsKnown() {
		return Queue{next: q.next}, q.tickets, nil
	}
	q, due := q.WithoutDue(now)
	mayRefuse := l.IsBusy()
	for _, t := range due {
		if mayRefuse && isHopeless(l.Wait(0, p.Mean()), p, t.Deadline-now) {
			hopeless = append(hopeless, t)
			continue
		}
		sent = append(sent, t)
		l.Excess++
	}
	room := l.FreeHere(draw)
	if now-q.sentAt >= sendInterval {
		room = max(1, room)
	}
	for range room {
		next, t, ok := q.WithoutNext(now)
		if !ok {
			break
		}
		q = next
		sent = append(sent, t)
	}
	if len(sent) > 0 {
		q.sentAt = now
	}
	return q.recorded(now, len(sent)), sent, hopeless
}

// WithoutTicket returns a queue without a withdrawn ticket, and whether it was still waiting. The ticket still counts as
// one that was not served, since its caller may have left for that.
func (q Queue) WithoutTicket(id uint64) (Queue, bool) {
	i := slices.IndexFunc(q.tickets, func(t Ticket) bool { return t.ID == id })
	if i < 0 {
		return q, false
	}
	return q.without(i), true
}

// without returns a queue without the ticket at an index.
func (q Queue) without(i int) Queue {
	q.bytes -= q.tickets[i].Bytes
	q.tickets = slices.Delete(slices.Clone(q.tickets), i, i+1)
	return q
}

// counted returns a queue that has counted a ticket. Older streams count less and less.
func (q Queue) counted(t Ticket, change tally) Queue {
	tallies := make(map[string]tally, len(q.tallies)+2)
	keep := 1.0
	if q.all.arrived > tallyLength {
		keep = 0.5
	}
	for group, sum := range q.tallies {
		if sum.arrived*keep >= minTally {
			tallies[group] = tally{arrived: sum.arrived * keep, served: sum.served * keep}
		}
	}
	for _, group := range t.groups() {
		tallies[group] = tallies[group].plus(change)
	}
	q.all = tally{arrived: q.all.arrived * keep, served: q.all.served * keep}.plus(change)
	q.tallies = tallies
	return q
}

// plus returns the sum of two tallies.
func (t tally) plus(other tally) tally {
	return tally{arrived: t.arrived + other.arrived, served: t.served + other.served}
}

// agingRate returns the rate of service of the group of a ticket that is served too seldom even with one stream more, or
// 1 if there is none.
func (q Queue) agingRate(t Ticket) float64 {
	lowest := 1.0
	for _, group := range t.groups() {
		if q.tallies[group].rate(1) < agingShare*q.all.rate(0) {
			lowest = min(lowest, q.tallies[group].rate(0))
		}
	}
	return lowest
}

// compare orders tickets: the more urgent priority first, then those whose first event can still be on time, then the
// least slack. A caller that has come back has less time left than a new one of its class, so that it comes first.
func compare(a, b Ticket, now time.Duration) int {
	isLateA, isLateB := a.Goal < now, b.Goal < now
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case isLateA && !isLateB:
		return 1
	case isLateB && !isLateA:
		return -1
	case isLateA:
		return cmp.Or(cmp.Compare(a.Latest, b.Latest), cmp.Compare(a.Arrived, b.Arrived))
	default:
		return cmp.Or(cmp.Compare(a.Goal, b.Goal), cmp.Compare(a.Latest, b.Latest), cmp.Compare(a.Arrived, b.Arrived))
	}
}
