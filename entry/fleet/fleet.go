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
	neighbourCount      = 6                      // neighbourCount is the number of members that one instance probes.
	probeInterval       = 300 * time.Millisecond // probeInterval is the time between two probes, of one neighbour each.
	probeTimeout        = 400 * time.Millisecond // probeTimeout limits any exchange of heartbeats.
	indirectProbes      = 2                      // indirectProbes is the number of members asked to probe a silent one.
	suspectTimeout      = 2 * time.Second        // suspectTimeout is how long a suspect may refute before it is dead.
	syncInterval        = 200 * time.Millisecond // syncInterval is the time between two syncs while they find updates.
	maxSyncInterval     = 4 * time.Second        // maxSyncInterval bounds that time when they find none.
	deadRetention       = 10 * time.Minute       // deadRetention is how long a dead member is remembered.
	defaultListInterval = 2 * time.Second        // defaultListInterval is the time between two reads of the list.
	reconnectInterval   = 2 * time.Second        // reconnectInterval is the time between two tries of dead members.
	pushInterval        = 200 * time.Millisecond // pushInterval is the least time between two pushes.
	pushFanout          = 4                      // pushFanout is the number of members that get an update at once.
)

// Freshness tells how current this instance's configuration is, and learns the same of peers from their heartbeats.
type Freshness interface {
	// Age returns the time since this instance, or a peer whose updates it has, last reached the platform.
	Age() time.Duration
	// Era returns the latest known era of the store, which counts its returns from a copy.
	Era() uint64
	// Heard takes the era, revision and age of the configuration that a peer reported.
	Heard(address string, era, revision uint64, age time.Duration)
	// Revision returns the current revision of the configuration here, or 0 if it is of an earlier era.
	Revision() uint64
}

// Lister reads the platform's list of instances.
type Lister interface {
	// Instances returns the live and draining instances; the list lags behind.
	Instances(ctx context.Context) ([]store.Instance, error)
}

// Settings configures a fleet controller.
type Settings struct {
	Self       member.Member
	Seeds      []string      // Seeds holds peer addresses to ask when the platform's list is unreachable.
	ListPeriod time.Duration // ListPeriod is the time between two reads of the platform's list; 0 is the default.
}

// Fleet is the membership controller of one instance.
type Fleet struct {
	*wait.Loop
	settings        Settings
	peers           peer.Client
	list            Lister
	freshness       Freshness
	log             log.Interface
	view            *cell.Cell[member.View]
	updateQueue     *updateQueue
	pushRequested   chan struct{}
	membersLost     *metrics.Counter
	listUnreachable atomic.Bool // listUnreachable tells that the last read of the platform's list failed.

	mu         sync.Mutex
	self       member.Member
	probeIndex int
	stateSince map[string]time.Time // stateSince maps members to when they became suspect or dead.
	listed     map[string]bool      // listed holds the names on the platform's list, as of the last read.
}

// New returns a fleet that knows only its own instance and starts to look for others.
func New(s Settings, peers peer.Client, platform Lister, freshness Freshness, logger log.Interface, set *metrics.Set) *Fleet {
	f := &Fleet{
		settings:      s,
		peers:         peers,
		list:          platform,
		freshness:     freshness,
		log:           logger,
		updateQueue:   newUpdateQueue(),
		pushRequested: make(chan struct{}, 1),
		membersLost:   set.GetOrCreateCounter("bramleywharf_members_lost_total"),
		self:          s.Self,
		stateSince:    make(map[string]time.Time),
		listed:        make(map[string]bool),
	}
	if f.settings.ListPeriod == 0 {
		f.settings.ListPeriod = defaultListInterval
	}
	view, _ := member.View{}.WithMember(s.Self)
	f.view = cell.New(view)
	f.updateQueue.add(s.Self, 1)
	set.NewGauge("bramleywharf_members_live", func() float64 { return float64(f.View().LiveCount()) })
	set.NewGauge("bramleywharf_members_unheard", func() float64 { return float64(f.View().UnheardCount()) })
	f.Loop = wait.Start(f.loop)
	return f
}

// Handle answers a peer's heartbeat, or probes another member on the peer's behalf if the heartbeat asks for it.
func (f *Fleet) Handle(ctx context.Context, gossip wire.Gossip) wire.Message {
	if gossip.ProbeAddress != "" {
		if _, err := f.exchange(ctx, gossip.ProbeAddress, wire.Gossip{}); err != nil {
			return wire.Failure{Reason: "no answer"}
		}
		return f.newHeartbeat(false, gossip.From.PeerAddress)
	}
	f.mergeHeartbeat(gossip, true)
	return f.newHeartbeat(gossip.WantAllMembers, gossip.From.PeerAddress)
}

// Leave announces to the members that this instance is draining and takes no new work.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.self.Leaving = true
	self := f.self
	f.mu.Unlock()
	f.apply(self)
	f.Push()
}

// Push makes the controller send heartbeats to a few members at once, since there is an update.
func (f *Fleet) Push() {
	select {
	case f.pushRequested <- struct{}{}:
	default:
	}
}

// Self returns this instance as it announces itself.
func (f *Fleet) Self() member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// View returns the current view of the members.
func (f *Fleet) View() member.View {
	return f.view.Load()
}

// exchange sends a heartbeat to an address and merges the answer; of the given gossip, ProbeAddress and WantAllMembers
// are sent. It spreads what the answer changes here.
func (f *Fleet) exchange(ctx context.Context, address string, gossip wire.Gossip) (wire.Gossip, error) {
	received, err := f.call(ctx, address, gossip)
	if err != nil {
		return wire.Gossip{}, err
	}
	f.mergeHeartbeat(received, true)
	return received, nil
}

// fetchMembers merges all members that the one at an address knows. It spreads none of them: whoever told that one
// spreads them, and all instances that start together fetch members.
func (f *Fleet) fetchMembers(ctx context.Context, address string) error {
	received, err := f.call(ctx, address, wire.Gossip{WantAllMembers: true})
	if err != nil {
		return err
	}
	f.mergeHeartbeat(received, false)
	return nil
}

// call sends a heartbeat to an address and returns the answer.
func (f *Fleet) call(ctx context.Context, address string, gossip wire.Gossip) (wire.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probeAddress, wantAllMembers := gossip.ProbeAddress, gossip.WantAllMembers
	gossip = f.newHeartbeat(false, address)
	gossip.ProbeAddress, gossip.WantAllMembers = probeAddress, wantAllMembers
	answer, err := f.peers.Call(ctx, address, gossip)
	if err != nil {
		return wire.Gossip{}, err
	}
	received, ok := answer.(wire.Gossip)
	if !ok {
		return wire.Gossip{}, peer.ErrRefused
	}
	return received, nil
}

// apply merges the state of a member into the view and, if that changes the view, spreads it as an update.
func (f *Fleet) apply(m member.Member) {
	if current, changed := f.merge(m); changed {
		f.updateQueue.add(current, f.view.Load().Len())
	}
}

// merge merges the state of a member into the view; it returns the new state and whether that changed the view.
func (f *Fleet) merge(m member.Member) (member.Member, bool) {
	if m.Name == f.settings.Self.Name {
		m = f.refute(m)
	}
	changed := false
	var current member.Member
	f.view.UpdateNotify(func(v member.View) (member.View, bool) {
		v, changed = v.WithMember(m)
		current, _ = v.Get(m.Name)
		return v, changed
	})
	if changed {
		f.recordState(current)
	}
	return current, changed
}

// newHeartbeat returns a heartbeat to the member at an address; full makes it carry all live members and not only
// queued updates. A recipient that is suspect or dead in this view is always told so, since only it can refute that and
// the update may have spread without reaching it.
func (f *Fleet) newHeartbeat(full bool, recipient string) wire.Gossip {
	gossip := wire.Gossip{
		From:      f.Self(),
		Era:       f.freshness.Era(),
		Revision:  f.freshness.Revision(),
		ConfigAge: f.freshness.Age(),
	}
	view := f.View()
	if full {
		gossip.Members = view.Live()
	} else {
		gossip.Members = f.updateQueue.take()
	}
	gossip.Members = append(gossip.Members, view.Impaired(recipient)...)
	return gossip
}

// mergeHeartbeat applies the members and the configuration revision that a heartbeat reports; spread passes changed
// members on.
func (f *Fleet) mergeHeartbeat(gossip wire.Gossip, spread bool) {
	if gossip.From.Name == "" {
		return
	}
	f.apply(gossip.From)
	for _, m := range gossip.Members {
		f.updateQueue.markRepeated(m)
		if spread || m.Name == f.settings.Self.Name { // Only this instance can refute what is said of it.
			f.apply(m)
		} else {
			f.merge(m)
		}
	}
	f.freshness.Heard(gossip.From.PeerAddress, gossip.Era, gossip.Revision, gossip.ConfigAge)
}

// recordState logs a change of a member's state and records when the member became suspect or dead.
func (f *Fleet) recordState(m member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, wasDown := f.stateSince[m.Name]
	logger := f.log.WithFields(log.Fields{"peer": m.Name, "incarnation": m.Incarnation})
	switch m.State {
	case member.Alive:
		if wasDown {
			logger.Info("member is alive again")
		}
		delete(f.stateSince, m.Name)
		return
	case member.Suspect:
		logger.Info("member is suspect")
	case member.Dead:
		f.membersLost.Inc()
		logger.Warn("member is dead")
	}
	f.stateSince[m.Name] = time.Now()
}

// refute returns this instance with an incarnation that overrides the state that others report of it.
func (f *Fleet) refute(reported member.Member) member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reported.Incarnation >= f.self.Incarnation && reported != f.self {
		f.self.Incarnation = reported.Incarnation + 1
	}
	return f.self
}
