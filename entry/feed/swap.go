package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

const (
	swapPeriod  = 400 * time.Millisecond // swapPeriod is the time between two pulls; news that was not pushed passes an instance in that time.
	fanOut      = 8                      // fanOut is the number of instances that pull from one: 20 pulls a second take about one in a hundred of a small machine's time.
	smallFleet  = 16                     // smallFleet is the size up to which loads are exchanged at each pull.
	loadTurn    = 3                      // loadTurn is the least number of pulls of a larger fleet for one that exchanges loads.
	loadsAtOnce = 30                     // loadsAtOnce is how many statements a pull may bring on the mean, which bounds bytes and processor time in a fleet of any size.
	swapTimeout = 500 * time.Millisecond // swapTimeout bounds one pull.
)

// Members gives the instances to pull from.
type Members interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members.
	View() member.View
}

// Loads knows what all instances have running at targets.
type Loads interface {
	// Known tells which statements of other instances are held.
	Known() []wire.Said
	// Merge takes statements.
	Merge(loads []wire.Load)
	// Newer returns the statements that a peer lacks.
	Newer(known []wire.Said) []wire.Load
	// Own returns a new statement of this instance.
	Own() wire.Load
	// Expect takes the time in which statements come anew.
	Expect(period time.Duration)
}

// Swap exchanges the copies of feeds, and the loads of targets, with peers.
type Swap struct {
	*wait.Loop
	feeds []*Feed
	loads Loads
	net   peer.Net
	log   log.Interface
	heard chan string

	turn int // turn counts the pulls.
	size int // size is the number of live members at the last pull.

	mu     sync.Mutex
	oldest bool // oldest tells that pulls fail, so that one line is logged for a series.
}

// NewSwap returns a swap that answers pulls; Start begins to pull.
func NewSwap(net peer.Net, loads Loads, logger log.Interface, feeds ...*Feed) *Swap {
	return &Swap{feeds: feeds, loads: loads, net: net, log: logger, heard: make(chan string, 1)}
}

// Start begins to pull from the members.
func (s *Swap) Start(members Members) {
	s.Loop = wait.Start(func(ctx context.Context) {
		s.loop(ctx, members)
	})
}

// Age returns the least age of all feeds.
func (s *Swap) Age() time.Duration {
	age := s.feeds[0].Age()
	for _, f := range s.feeds[1:] {
		age = min(age, f.Age())
	}
	return age
}

// Handle answers a peer's pull.
func (s *Swap) Handle(p wire.Pull) wire.Message {
	var pages wire.Pages
	if p.Loads {
		s.loads.Merge([]wire.Load{p.Own})
		pages.Loads = s.loads.Newer(p.Known)
	}
	for _, mark := range p.Marks {
		for _, f := range s.feeds {
			if f.Kind() == mark.Kind {
				age := f.Age()
				page := encode(mark.Kind, f.View().Since(mark.At))
				page.Age = age
				pages.Pages = append(pages.Pages, page)
			}
		}
	}
	return pages
}

// Heard takes what a peer's heartbeat says of its revision.
func (s *Swap) Heard(address string, revision uint64, _ time.Duration) {
	if revision <= s.Revision() {
		return
	}
	select {
	case s.heard <- address:
	default:
	}
}

// Revision returns the newest revision of all feeds.
func (s *Swap) Revision() uint64 {
	var newest uint64
	for _, f := range s.feeds {
		newest = max(newest, f.View().At())
	}
	return newest
}

// loop pulls from a random member at each period, and from one that has news when it is heard.
func (s *Swap) loop(ctx context.Context, members Members) {
	tick := time.NewTicker(swapPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.heard:
			s.Pull(ctx, address)
			wait.For(ctx, swapPeriod/4)
		case <-tick.C:
			if address, ok := s.another(members); ok {
				s.Pull(ctx, address)
			}
		}
	}
}

// Pull takes what a peer knows beyond the own copies.
func (s *Swap) Pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	began := time.Now()
	var question wire.Pull
	if turns := turnsFor(s.size); s.turn%turns == 0 {
		s.loads.Expect(time.Duration(turns) * swapPeriod)
		question.Loads, question.Own, question.Known = true, s.loads.Own(), s.loads.Known()
	}
	for _, f := range s.feeds {
		question.Marks = append(question.Marks, wire.Mark{Kind: f.Kind(), At: f.View().At()})
	}
	answer, err := s.net.Ask(ctx, address, question)
	s.note(address, err)
	pages, ok := answer.(wire.Pages)
	if err != nil || !ok {
		return false
	}
	s.loads.Merge(pages.Loads)
	for _, p := range pages.Pages {
		for _, f := range s.feeds {
			if f.Kind() == p.Kind {
				f.Take(decode(p), address)
				f.Confirm(p.Age + time.Since(began))
			}
		}
	}
	return true
}

// turnsFor returns how many pulls of a fleet come to one that exchanges loads.
func turnsFor(size int) int {
	if size <= smallFleet {
		return 1
	}
	return max(loadTurn, (size+loadsAtOnce-1)/loadsAtOnce)
}

// note logs the first failed pull of a series and its end.
func (s *Swap) note(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err != nil) == s.oldest {
		return
	}
	s.oldest = err != nil
	if err != nil {
		s.log.WithError(err).WithField("peer", address).Warn("pull from peer failed")
		return
	}
	s.log.WithField("peer", address).Info("pulls from peers work again")
}

// another returns the address of a member to pull from: one of those before it in the order of a kind, which begins with those that ask the store.
func (s *Swap) another(members Members) (string, bool) {
	self := members.Self()
	var live []string
	for _, m := range members.View().Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			live = append(live, m.Name)
		}
	}
	s.turn++
	s.size = len(live)
	order := route.Rank("feed/"+s.feeds[s.turn%len(s.feeds)].Kind(), live)
	place := slices.Index(order, self.Name)
	above := order[:min(max(watchers, (place+fanOut-1)/fanOut), len(order))]
	above = slices.DeleteFunc(slices.Clone(above), func(name string) bool { return name == self.Name })
	if len(above) == 0 {
		return "", false
	}
	m, ok := members.View().Get(nearest(members.View(), self.Domain, above))
	return m.PeerAddress, ok
}

// nearest returns a random name of the own failure domain, since bytes between domains are paid for, or any when there is none.
func nearest(view member.View, domain string, names []string) string {
	near := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		m, _ := view.Get(name)
		return m.Domain != domain
	})
	if len(near) == 0 {
		near = names
	}
	return near[rand.IntN(len(near))]
}

// decode returns the page of a message.
func decode(p wire.KindPage) mirror.Page {
	page := mirror.Page{At: p.At}
	for _, o := range p.Objects {
		page.Objects = append(page.Objects, mirror.Object{Name: o.Name, Revision: o.Revision, Deleted: o.Deleted, Raw: o.Value})
	}
	return page
}

// encode returns the message of a page.
func encode(kind string, p mirror.Page) wire.KindPage {
	page := wire.KindPage{Kind: kind, At: p.At}
	for _, o := range p.Objects {
		page.Objects = append(page.Objects, wire.ConfigObject{Kind: kind, Name: o.Name, Revision: o.Revision, Deleted: o.Deleted, Value: o.Raw})
	}
	return page
}
