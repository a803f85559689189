package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	neighbourCount = 6                      // neighbourCount is the number of members that one instance probes in turn.
	probePeriod    = 300 * time.Millisecond // probePeriod is the time between two probes.
	probeTimeout   = 400 * time.Millisecond // probeTimeout bounds one probe.
	helpers        = 2                      // helpers is the number of members asked to probe on one's behalf.
	suspectLife    = 2 * time.Second        // suspectLife is the time that a suspect has to refute.
	deadLife       = 10 * time.Minute       // deadLife is how long a dead member is remembered.
	listPeriod     = 2 * time.Second        // listPeriod is the time between two reads of the platform's list, unless the settings name another.
	revisitPeriod  = 2 * time.Second        // revisitPeriod is the time between two attempts to reach a dead member.
	pushFanout     = 4                      // pushFanout is the number of members told at once of a new configuration.
)

// Freshness is what heartbeats say of the configuration.
type Freshness interface {
	// Age returns the time since the platform was last heard of, by way of any peer.
	Age() time.Duration
	// Heard takes what a peer says of its configuration.
	Heard(address string, revision uint64, age time.Duration)
	// Revision returns the revision in force here.
	Revision() uint64
}

// Lister reads the platform's list of instances.
type Lister interface {
	// Instances returns the lagging list of live and leaving instances.
	Instances(ctx context.Context) ([]store.Instance, error)
}

// Settings configures a fleet controller.
type Settings struct {
	Self       member.Member
	Seeds      []string      // Seeds lists peer addresses to ask when the platform's list cannot be had.
	ListPeriod time.Duration // ListPeriod is the time between two reads of the platform's list; 0 takes the default.
}

// Fleet keeps the view of the members.
type Fleet struct {
	*wait.Loop
	settings Settings
	net      peer.Net
	list     Lister
	fresh    Freshness
	log      log.Interface
	view     *cell.Cell[member.View]
	news     *news
	kick     chan struct{}
	deaths   *metrics.Counter
	unlisted atomic.Bool // unlisted tells that the platform's list could not be read last time.

	mu     sync.Mutex
	self   member.Member
	turn   int
	since  map[string]time.Time // since holds when a member became suspect or dead.
	listed map[string]bool
}

// New returns a fleet that knows itself alone and begins to look for others.
func New(s Settings, net peer.Net, platform Lister, fresh Freshness, logger log.Interface, set *metrics.Set) *Fleet {
	f := &Fleet{
		settings: s,
		net:      net,
		list:     platform,
		fresh:    fresh,
		log:      logger,
		news:     newNews(),
		kick:     make(chan struct{}, 1),
		deaths:   set.GetOrCreateCounter("bramleywharf_members_lost_total"),
		self:     s.Self,
		since:    make(map[string]time.Time),
		listed:   make(map[string]bool),
	}
	if f.settings.ListPeriod == 0 {
		f.settings.ListPeriod = listPeriod
	}
	view, _ := member.View{}.WithMember(s.Self)
	f.view = cell.New(view)
	f.news.add(s.Self, 1)
	set.NewGauge("bramleywharf_members_live", func() float64 { return float64(len(f.View().Live())) })
	f.Loop = wait.Start(f.loop)
	return f
}

// Handle answers a heartbeat.
func (f *Fleet) Handle(ctx context.Context, g wire.Gossip) wire.Message {
	if g.Forward != "" {
		if _, err := f.ask(ctx, g.Forward, wire.Gossip{}); err != nil {
			return wire.Failed{Reason: "no answer"}
		}
		return f.heartbeat(false, g.From.PeerAddress)
	}
	f.merge(g)
	return f.heartbeat(g.Full, g.From.PeerAddress)
}

// Leave tells the members that this instance takes no new work.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.self.Leaving = true
	self := f.self
	f.mu.Unlock()
	f.believe(self)
	f.Push()
}

// Push tells a few members at once that there is news.
func (f *Fleet) Push() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Self returns this instance as the members should know it.
func (f *Fleet) Self() member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// View returns the members as this instance knows them.
func (f *Fleet) View() member.View {
	return f.view.Load()
}

// ask sends a heartbeat and merges the answer.
func (f *Fleet) ask(ctx context.Context, address string, g wire.Gossip) (wire.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	forward, full := g.Forward, g.Full
	g = f.heartbeat(false, address)
	g.Forward, g.Full = forward, full
	answer, err := f.net.Ask(ctx, address, g)
	if err != nil {
		return wire.Gossip{}, err
	}
	heard, ok := answer.(wire.Gossip)
	if !ok {
		return wire.Gossip{}, peer.ErrRefused
	}
	f.merge(heard)
	return heard, nil
}

// believe merges one member into the view and spreads it if it is news.
func (f *Fleet) believe(m member.Member) {
	if m.Name == f.settings.Self.Name {
		m = f.refute(m)
	}
	changed := false
	var now member.Member
	f.view.Update(func(v member.View) member.View {
		v, changed = v.WithMember(m)
		now, _ = v.Get(m.Name)
		return v
	})
	if !changed {
		return
	}
	f.news.add(now, f.view.Load().Len())
	f.note(now)
}

// heartbeat returns what this instance tells the member at an address. A member that is not believed to be alive is told so each time, since it alone can refute it and the news may have gone round without it.
func (f *Fleet) heartbeat(full bool, to string) wire.Gossip {
	g := wire.Gossip{
		From:     f.Self(),
		Revision: f.fresh.Revision(),
		Age:      f.fresh.Age(),
	}
	view := f.View()
	if full {
		g.Members = view.Live()
	} else {
		g.Members = f.news.take()
	}
	for _, m := range view.All() {
		if m.PeerAddress == to && m.State != member.Alive {
			g.Members = append(g.Members, m)
		}
	}
	return g
}

// merge takes a heartbeat into the view.
func (f *Fleet) merge(g wire.Gossip) {
	if g.From.Name == "" {
		return
	}
	f.believe(g.From)
	for _, m := range g.Members {
		f.believe(m)
	}
	f.fresh.Heard(g.From.PeerAddress, g.Revision, g.Age)
}

// note records and logs a change of a member's state.
func (f *Fleet) note(m member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, missed := f.since[m.Name]
	line := f.log.WithFields(log.Fields{"peer": m.Name, "incarnation": m.Incarnation})
	switch m.State {
	case member.Alive:
		if missed {
			line.Info("member is alive again")
		}
		delete(f.since, m.Name)
		return
	case member.Suspect:
		line.Info("member is suspect")
	case member.Dead:
		f.deaths.Inc()
		line.Warn("member is dead")
	}
	f.since[m.Name] = time.Now()
}

// refute returns this instance with an incarnation that overrides what is told of it.
func (f *Fleet) refute(told member.Member) member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if told.Incarnation >= f.self.Incarnation && told != f.self {
		f.self.Incarnation = told.Incarnation + 1
	}
	return f.self
}
