package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

const (
	swapPeriod  = 600 * time.Millisecond // swapPeriod is the time between two pulls, so that news passes two instances within the users' 2 s.
	swapTimeout = 500 * time.Millisecond // swapTimeout bounds one pull.
)

// Members gives the instances to pull from.
type Members interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members.
	View() member.View
}

// Swap exchanges the copies of feeds with peers.
type Swap struct {
	feeds  []*Feed
	net    peer.Net
	log    log.Interface
	heard  chan string
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	oldest bool // oldest tells that pulls fail, so that one line is logged for a series.
}

// NewSwap returns a swap that answers pulls; Start begins to pull.
func NewSwap(net peer.Net, logger log.Interface, feeds ...*Feed) *Swap {
	return &Swap{feeds: feeds, net: net, log: logger, heard: make(chan string, 1), done: make(chan struct{})}
}

// Start begins to pull from the members.
func (s *Swap) Start(members Members) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.done)
		s.loop(ctx, members)
	}()
}

// Age returns the least time since the store answered any feed.
func (s *Swap) Age() time.Duration {
	age := s.feeds[0].Age()
	for _, f := range s.feeds[1:] {
		age = min(age, f.Age())
	}
	return age
}

// Close stops pulling.
func (s *Swap) Close() {
	s.cancel()
	<-s.done
}

// Done is closed when the swap has stopped.
func (s *Swap) Done() <-chan struct{} {
	return s.done
}

// Handle answers a peer's pull.
func (s *Swap) Handle(p wire.Pull) wire.Message {
	var pages wire.Pages
	for _, mark := range p.Marks {
		for _, f := range s.feeds {
			if view := f.View(); f.Kind() == mark.Kind && view.At() > mark.At {
				pages.Pages = append(pages.Pages, encode(mark.Kind, view.Since(mark.At)))
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
			if address, ok := another(members); ok {
				s.Pull(ctx, address)
			}
		}
	}
}

// Pull takes what a peer knows beyond the own copies.
func (s *Swap) Pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	var question wire.Pull
	for _, f := range s.feeds {
		question.Marks = append(question.Marks, wire.Mark{Kind: f.Kind(), At: f.View().At()})
	}
	answer, err := s.net.Ask(ctx, address, question)
	s.note(address, err)
	pages, ok := answer.(wire.Pages)
	if err != nil || !ok {
		return false
	}
	for _, p := range pages.Pages {
		for _, f := range s.feeds {
			if f.Kind() == p.Kind {
				f.Take(decode(p), address)
			}
		}
	}
	return true
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

// another returns the address of a random other member that is not dead.
func another(members Members) (string, bool) {
	self := members.Self().Name
	var addresses []string
	for _, m := range members.View().Live() {
		if m.Name != self && m.State == member.Alive {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
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
