package fleet

import (
	"math/bits"
	"sync"

	"bramleywharf.example/core/member"
)

const (
	newsPerMessage = 12 // newsPerMessage bounds the members told of in one heartbeat.
	newsRounds     = 3  // newsRounds is multiplied by the logarithm of the fleet to get how often one piece is told.
)

// news is the queue of members to tell others of.
type news struct {
	mu    sync.Mutex
	items map[string]item
}

// item is one piece of news and how often it is still to be told.
type item struct {
	member member.Member
	left   int
}

// newNews returns an empty queue.
func newNews() *news {
	return &news{items: make(map[string]item)}
}

// add queues a member in a fleet of a size.
func (n *news) add(m member.Member, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.items[m.Name] = item{member: m, left: newsRounds * (bits.Len(uint(size)) + 1)}
}

// take returns the next members to tell of.
func (n *news) take() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var told []member.Member
	for name, i := range n.items {
		if len(told) == newsPerMessage {
			break
		}
		told = append(told, i.member)
		i.left--
		if i.left <= 0 {
			delete(n.items, name)
			continue
		}
		n.items[name] = i
	}
	return told
}
