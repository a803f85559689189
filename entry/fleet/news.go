package fleet

import (
	"math/bits"
	"sync"

	"bramleywharf.example/core/member"
)

const (
	updatesPerHeartbeat = 8 // updatesPerHeartbeat limits the queued updates that one heartbeat carries.
	updateSendFactor    = 3 // updateSendFactor times the logarithm of the fleet's size is how often an update is sent.
	// repeatWeight is the number of sends that one repetition of an update by another member replaces. After a start of
	// the whole fleet nearly all updates are known everywhere, and sending each of them to the end takes a minute.
	repeatWeight = 10
)

// updateQueue holds changed members, by name, that are still to be sent with heartbeats.
type updateQueue struct {
	mu    sync.Mutex
	items map[string]queuedUpdate
}

// queuedUpdate is a changed member and the number of heartbeats that are still to carry it.
type queuedUpdate struct {
	member    member.Member
	sendsLeft int
}

// newUpdateQueue returns an empty queue.
func newUpdateQueue() *updateQueue {
	return &updateQueue{items: make(map[string]queuedUpdate)}
}

// add queues a changed member for a fleet of the given size, and replaces an older update of it.
func (q *updateQueue) add(m member.Member, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items[m.Name] = queuedUpdate{member: m, sendsLeft: updateSendFactor * (bits.Len(uint(size)) + 1)}
}

// markRepeated records that another member sent a queued update, so that it is known elsewhere too.
func (q *updateQueue) markRepeated(m member.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	update, ok := q.items[m.Name]
	if !ok || update.member != m {
		return
	}
	update.sendsLeft -= repeatWeight
	if update.sendsLeft <= 0 {
		delete(q.items, m.Name)
		return
	}
	q.items[m.Name] = update
}

// take returns the updates for one heartbeat and drops those that have been sent often enough.
func (q *updateQueue) take() []member.Member {
	q.mu.Lock()
	defer q.mu.Unlock()
	var members []member.Member
	for name, update := range q.items {
		if len(members) == updatesPerHeartbeat {
			break
		}
		members = append(members, update.member)
		update.sendsLeft--
		if update.sendsLeft <= 0 {
			delete(q.items, name)
			continue
		}
		q.items[name] = update
	}
	return members
}
