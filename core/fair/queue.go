package fair

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a queue.
const (
	MaxTickets         = 512 // MaxTickets bounds all waiting generations of one instance.
	MaxPerOrganisation = 128 // MaxPerOrganisation bounds the waiting generations of one organisation.
	minServiceRate     = 0.1 // in tickets per second; keeps wait estimates finite
)

// Errors of rejected generations.
var (
	ErrFull = errors.New("too many generations wait for an engine")
	ErrLate = errors.New("no engine will be free before the deadline")
)

// Ticket is one waiting generation.
type Ticket struct {
	ID           uint64
	Organisation string
	Model        string
	Share        float64
	Deadline     time.Time
}

// Queue holds the waiting generations; its values are never changed after construction.
type Queue struct {
	tickets     []Ticket // in order of arrival
	virtualTime float64
	finishTimes map[string]float64 // virtual; by organisation, of its last served ticket or when it began to wait
	next        uint64             // ID of the next ticket
}

// EstimateWait estimates how long a new ticket of an organisation waits at a service rate in tickets per second.
func (q Queue) EstimateWait(organisation string, share, rate float64) time.Duration {
	ownTickets := 1
	shareOf := map[string]float64{organisation: share}
	for _, t := range q.tickets {
		if t.Organisation == organisation {
			ownTickets++
		}
		shareOf[t.Organisation] = t.Share
	}
	shareSum := 0.0
	for _, s := range shareOf {
		shareSum += s
	}
	turns := min(float64(ownTickets)*shareSum/share, float64(len(q.tickets)+1))
	return time.Duration(turns / max(rate, minServiceRate) * float64(time.Second))
}

// Len returns the number of tickets.
func (q Queue) Len() int {
	return len(q.tickets)
}

// WithTicket returns a queue with one more ticket, and that ticket.
func (q Queue) WithTicket(organisation, model string, share float64, deadline time.Time) (Queue, Ticket, error) {
	ownTickets := 0
	for _, t := range q.tickets {
		if t.Organisation == organisation {
			ownTickets++
		}
	}
	if len(q.tickets) >= MaxTickets || ownTickets >= MaxPerOrganisation {
		return q, Ticket{}, ErrFull
	}
	t := Ticket{ID: q.next, Organisation: organisation, Model: model, Share: share, Deadline: deadline}
	next := q
	next.next++
	next.tickets = append(slices.Clone(q.tickets), t)
	if ownTickets == 0 {
		next.finishTimes = q.activeFinishTimes()
		next.finishTimes[organisation] = max(q.virtualTime, q.finishTimes[organisation])
	}
	return next, t, nil
}

// WithoutExpired returns a queue without the tickets whose deadline has passed, and those tickets.
func (q Queue) WithoutExpired(now time.Time) (Queue, []Ticket) {
	var expired []Ticket
	for _, t := range q.tickets {
		if now.After(t.Deadline) {
			expired = append(expired, t)
		}
	}
	if len(expired) == 0 {
		return q, nil
	}
	next := q
	next.tickets = slices.DeleteFunc(slices.Clone(q.tickets), func(t Ticket) bool { return now.After(t.Deadline) })
	return next, expired
}

// WithoutNext returns a queue without the ticket that is served next among those whose model has room, and that
// ticket.
func (q Queue) WithoutNext(hasRoom func(model string) bool) (Queue, Ticket, bool) {
	best := -1
	var earliestFinish float64
	seen := make(map[string]bool)
	for i, t := range q.tickets {
		if seen[t.Organisation+"/"+t.Model] {
			continue
		}
		seen[t.Organisation+"/"+t.Model] = true
		finishTime := q.finishTime(t)
		if (best < 0 || finishTime < earliestFinish) && hasRoom(t.Model) {
			best, earliestFinish = i, finishTime
		}
	}
	if best < 0 {
		return q, Ticket{}, false
	}
	t := q.tickets[best]
	next := q
	next.tickets = slices.Delete(slices.Clone(q.tickets), best, best+1)
	next.virtualTime = max(q.virtualTime, earliestFinish-1/t.Share)
	next.finishTimes = q.activeFinishTimes()
	next.finishTimes[t.Organisation] = earliestFinish
	return next, t, true
}

// WithoutTicket returns a queue without a withdrawn ticket, and whether it was still waiting.
func (q Queue) WithoutTicket(id uint64) (Queue, bool) {
	next := q
	next.tickets = slices.DeleteFunc(slices.Clone(q.tickets), func(t Ticket) bool { return t.ID == id })
	return next, len(next.tickets) < len(q.tickets)
}

// activeFinishTimes returns the finish times without organisations that neither wait nor are ahead of the virtual time.
func (q Queue) activeFinishTimes() map[string]float64 {
	waiting := make(map[string]bool, len(q.tickets))
	for _, t := range q.tickets {
		waiting[t.Organisation] = true
	}
	finishTimes := make(map[string]float64, len(q.finishTimes)+1)
	for organisation, finishTime := range q.finishTimes {
		if waiting[organisation] || finishTime > q.virtualTime {
			finishTimes[organisation] = finishTime
		}
	}
	return finishTimes
}

// finishTime returns the virtual finish time of a ticket if it were served next. Only served tickets advance it, so
// that withdrawn ones cost their organisation nothing.
func (q Queue) finishTime(t Ticket) float64 {
	return q.finishTimes[t.Organisation] + 1/t.Share
}
