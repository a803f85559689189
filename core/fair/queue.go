package fair

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a queue.
const (
	MaxTickets  = 512 // MaxTickets bounds all waiting generations of one instance.
	MaxOfOne    = 128 // MaxOfOne bounds those of one organisation.
	minimumRate = 0.1 // minimumRate is the least rate of service that waits are estimated with, in tickets a second.
)

// Errors of a queue that takes no ticket.
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
	tickets []Ticket // tickets is in order of arrival.
	virtual float64
	served  map[string]float64 // served holds the virtual finish of what each organisation was served last, or when it began to wait.
	next    uint64
}

// Len returns the number of tickets.
func (q Queue) Len() int {
	return len(q.tickets)
}

// Wait estimates how long a new ticket of an organisation waits at a rate of service, in tickets a second.
func (q Queue) Wait(organisation string, share, rate float64) time.Duration {
	mine := 1
	shares := map[string]float64{organisation: share}
	for _, t := range q.tickets {
		if t.Organisation == organisation {
			mine++
		}
		shares[t.Organisation] = t.Share
	}
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	ahead := min(float64(mine)*sum/share, float64(len(q.tickets)+1))
	return time.Duration(ahead / max(rate, minimumRate) * float64(time.Second))
}

// WithTicket returns a queue with one more ticket of an organisation with a share, and the ticket.
func (q Queue) WithTicket(organisation, model string, share float64, deadline time.Time) (Queue, Ticket, error) {
	mine := 0
	for _, t := range q.tickets {
		if t.Organisation == organisation {
			mine++
		}
	}
	if len(q.tickets) >= MaxTickets || mine >= MaxOfOne {
		return q, Ticket{}, ErrFull
	}
	t := Ticket{ID: q.next, Organisation: organisation, Model: model, Share: share, Deadline: deadline}
	next := q
	next.next++
	next.tickets = append(slices.Clone(q.tickets), t)
	if mine == 0 {
		next.served = q.current()
		next.served[organisation] = max(q.virtual, q.served[organisation])
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

// WithoutFirst returns a queue without the ticket that is next among those that have room, and that ticket.
func (q Queue) WithoutFirst(hasRoom func(model string) bool) (Queue, Ticket, bool) {
	best := -1
	var bestFinish float64
	seen := make(map[string]bool)
	for i, t := range q.tickets {
		if seen[t.Organisation+"/"+t.Model] {
			continue
		}
		seen[t.Organisation+"/"+t.Model] = true
		finish := q.finish(t)
		if (best < 0 || finish < bestFinish) && hasRoom(t.Model) {
			best, bestFinish = i, finish
		}
	}
	if best < 0 {
		return q, Ticket{}, false
	}
	t := q.tickets[best]
	next := q
	next.tickets = slices.Delete(slices.Clone(q.tickets), best, best+1)
	next.virtual = max(q.virtual, bestFinish-1/t.Share)
	next.served = q.current()
	next.served[t.Organisation] = bestFinish
	return next, t, true
}

// WithoutTicket returns a queue without a ticket that gave up, and whether it was still there.
func (q Queue) WithoutTicket(id uint64) (Queue, bool) {
	next := q
	next.tickets = slices.DeleteFunc(slices.Clone(q.tickets), func(t Ticket) bool { return t.ID == id })
	return next, len(next.tickets) < len(q.tickets)
}

// current returns a copy of served without organisations that neither wait nor are ahead.
func (q Queue) current() map[string]float64 {
	waiting := make(map[string]bool, len(q.tickets))
	for _, t := range q.tickets {
		waiting[t.Organisation] = true
	}
	served := make(map[string]float64, len(q.served)+1)
	for organisation, finish := range q.served {
		if waiting[organisation] || finish > q.virtual {
			served[organisation] = finish
		}
	}
	return served
}

// finish returns the virtual finish of a ticket if it were served next; only service advances it, so that tickets that give up cost their organisation nothing.
func (q Queue) finish(t Ticket) float64 {
	return q.served[t.Organisation] + 1/t.Share
}
