package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// pullInterval is the time between two pulls. An update that no heartbeat announced passes one level of pulls in
	// this time.
	pullInterval = 250 * time.Millisecond
	// nearPullInterval is the least time between two pulls from members of the own failure domain that reported a newer
	// revision.
	nearPullInterval = 200 * time.Millisecond
	// farPullInterval is that time for members of other domains, since traffic between domains is billed. One of many
	// neighbours gets each change from there early, and the others get it from that one.
	farPullInterval = time.Second
	// fanOut is the number of instances that pull from one: 32 pulls a second take about 2 % of a small machine's
	// processor time.
	fanOut = 8
	// smallFleetSize is the number of instances up to which every pull exchanges loads and every change is urgent.
	smallFleetSize = 16
	// minPullsPerLoadExchange is the least number of pulls from one exchange of loads to the next in a larger fleet.
	minPullsPerLoadExchange = 5
	// loadsPerPull is the average number of load reports that a pull may return. It bounds bytes and processor time
	// in a fleet of any size.
	loadsPerPull = 18
	// pullPhases is the number of values with which an instance may start to count its pulls.
	pullPhases = 1 << 16
	// joinPulls is the number of pulls in vain after which an instance that starts goes on without its peers.
	joinPulls = 8
	// joinInterval is the time between two of them.
	joinInterval = 50 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 400 * time.Millisecond
)

// Members returns the instances to pull from.
type Members interface {
	// Self returns this instance.
	Self() member.Member
	// View returns all members.
	View() member.View
}

// Loads holds the newest load report of each instance: what that instance has running at targets.
type Loads interface {
	// Known returns the sequence numbers of the reports of other instances.
	Known() []wire.ReportVersion
	// Merge takes reports from a peer.
	Merge(reports []wire.LoadReport)
	// Newer returns the reports that a peer lacks.
	Newer(known []wire.ReportVersion) []wire.LoadReport
	// Own returns a new report of this instance.
	Own() wire.LoadReport
	// Expect sets the time between two exchanges of reports.
	Expect(period time.Duration)
}

// Losses holds the losses of targets that had begun to answer requests with a part in their prompts.
type Losses interface {
	// Digest identifies the losses that are known.
	Digest() uint64
	// Losses returns them.
	Losses() []wire.PartLosses
	// Crashes returns the recent crashes of targets, by which the losses of an outage are recognised.
	Crashes() []wire.TargetCrash
	// MergeLosses takes losses and crashes from a peer.
	MergeLosses(losses []wire.PartLosses, crashes []wire.TargetCrash)
}

// Swap exchanges the objects of feeds, the load reports of instances and the losses of parts with peers.
type Swap struct {
	*wait.Loop
	feeds      []*Feed
	roles      []string // roles holds the roles of the feeds' watchers, each once; each has a tree of its own.
	loads      Loads
	losses     Losses
	peers      peer.Client
	log        log.Interface
	joined     chan struct{} // joined is closed after the first answered pull, or when pulls in vain have ended.
	newerPeers chan string   // newerPeers passes on the address of a peer that has a newer revision.
	allowance  atomic.Pointer[allowance]
	postponed  *metrics.Counter

	pullCount             int       // pullCount counts the pulls at intervals.
	fleetSize             int       // fleetSize is the number of live members at the last of these pulls.
	nearPullAt, farPullAt time.Time // The last pulls from members that reported a newer revision.
	agreedDigest          uint64    // agreedDigest is that of the losses which a peer last had in common with this instance.

	mu      sync.Mutex
	failing bool // failing is true while pulls fail, so that each series of failures logs one line.
}

// NewSwap returns a Swap that answers pulls; it makes its own pulls after Start.
func NewSwap(peers peer.Client, loads Loads, losses Losses, logger log.Interface, set *metrics.Set, feeds ...*Feed) *Swap {
	s := &Swap{
		feeds:      feeds,
		loads:      loads,
		losses:     losses,
		peers:      peers,
		log:        logger,
		joined:     make(chan struct{}),
		newerPeers: make(chan string, 1),
		postponed:  set.GetOrCreateCounter("bramleywharf_pages_postponed_total"),
	}
	for _, f := range feeds {
		if !slices.Contains(s.roles, f.role()) {
			s.roles = append(s.roles, f.role())
		}
	}
	s.allowance.Store(&allowance{})
	set.GetOrCreateGauge("bramleywharf_store_era", func() float64 { return float64(s.Era()) })
	return s
}

// Start begins to pull from members.
func (s *Swap) Start(members Members) {
	s.Loop = wait.Start(func(ctx context.Context) {
		s.loop(ctx, members)
	})
}

// Joined returns a channel that closes when this instance has what a peer has, or has found no peer that answers.
func (s *Swap) Joined() <-chan struct{} {
	return s.joined
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
func (s *Swap) Handle(p wire.PullUpdates) wire.Message {
	var updates wire.Updates
	if p.WantReports {
		s.loads.Merge([]wire.LoadReport{p.OwnReport})
		updates.Reports = s.loads.Newer(p.KnownReports)
	}
	s.losses.MergeLosses(p.Losses, p.Crashes)
	if updates.LossDigest = s.losses.Digest(); updates.LossDigest != p.LossDigest {
		updates.Losses, updates.Crashes = s.losses.Losses(), s.losses.Crashes()
	}
	for _, known := range p.Revisions {
		for _, f := range s.feeds {
			if f.Kind() != known.Kind {
				continue
			}
			f.Learn(known.Era)
			age := f.Age()
			page, ok := f.View().ChangesAfter(known.Era, known.Revision)
			if !ok {
				continue
			}
			if !s.maySend(f, page) {
				s.postponed.Inc()
				continue
			}
			kindUpdates := pageToWire(known.Kind, page)
			kindUpdates.Age = age
			updates.Kinds = append(updates.Kinds, kindUpdates)
		}
	}
	return updates
}

// maySend reports whether a page of a feed can be sent now, and if so takes it from the allowance. A peer whose page has
// to wait pulls again, from another instance that has the page by then.
func (s *Swap) maySend(f *Feed, page mirror.Page) bool {
	size := pageBytes(page)
	if size == 0 || !f.settings.Urgent {
		return true
	}
	return cell.TryUpdate(&s.allowance, func(a allowance) (allowance, bool) { return a.withPage(size, time.Now()) })
}

// Era returns the latest era of the store that this instance knows of.
func (s *Swap) Era() uint64 {
	var latest uint64
	for _, f := range s.feeds {
		latest = max(latest, f.Era())
	}
	return latest
}

// Heard requests a pull from a peer whose heartbeat reports a newer revision, of the same era of the store or a later one.
func (s *Swap) Heard(address string, era, revision uint64, _ time.Duration) {
	for _, f := range s.feeds {
		f.Learn(era)
	}
	if era < s.Era() || revision <= s.Revision() {
		return
	}
	select {
	case s.newerPeers <- address:
	default:
	}
}

// Revision returns the revision that heartbeats report, so that peers which are behind pull early. In a small fleet it is
// the newest of all feeds: it moves several times a second, and the early pulls keep load reports fresh as well. In a
// larger one it is that of the newest change in the urgent feeds, and all else is pulled at each interval: a pull for
// each of many changes would cost more than the rest of control. Feeds that have not entered the latest era do not count.
func (s *Swap) Revision() uint64 {
	var newest uint64
	era := s.Era()
	for _, f := range s.feeds {
		switch {
		case f.View().Era() < era:
		case f.inSmallFleet():
			newest = max(newest, f.View().Revision(), f.View().Newest())
		case f.settings.Urgent:
			newest = max(newest, f.View().Newest())
		}
	}
	return newest
}

// loop pulls from a random member at each interval, and early from a peer that reported a newer revision.
func (s *Swap) loop(ctx context.Context, members Members) {
	s.join(ctx, members)
	// Instances that started together would pull at the same moments, of the same kind and with loads, from then on.
	s.pullCount = rand.IntN(pullPhases)
	if !wait.Sleep(ctx, rand.N(pullInterval)) {
		return
	}
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.newerPeers:
			if s.isPullDue(members, address, time.Now()) {
				s.Pull(ctx, address)
			}
		case <-ticker.C:
			s.pullFromTree(ctx, members)
		}
	}
}

// join pulls until a peer has answered, a few times at most.
func (s *Swap) join(ctx context.Context, members Members) {
	defer close(s.joined)
	for range joinPulls {
		if s.pullFromTree(ctx, members) || !wait.Sleep(ctx, joinInterval) {
			return
		}
	}
}

// isPullDue reports whether to pull from a peer that reported a newer revision, and if so counts the pull.
func (s *Swap) isPullDue(members Members, address string, now time.Time) bool {
	m, _ := members.View().AtAddress(address)
	last, interval := &s.nearPullAt, nearPullInterval
	if m.Domain != members.Self().Domain {
		last, interval = &s.farPullAt, farPullInterval
	}
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// pullFromTree pulls from a member above this instance, and from another one at once if that one does not answer. It
// reports whether one has answered.
func (s *Swap) pullFromTree(ctx context.Context, members Members) bool {
	for range 2 {
		address, ok := s.pickPeer(members)
		if !ok {
			return false
		}
		if s.Pull(ctx, address) {
			return true
		}
	}
	return false
}

// Pull fetches and merges what a peer has and this instance lacks; it reports whether the peer answered.
func (s *Swap) Pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := time.Now()
	var request wire.PullUpdates
	if every := pullsPerLoadExchange(s.fleetSize); s.pullCount%every == 0 {
		s.loads.Expect(time.Duration(every) * pullInterval)
		request.WantReports, request.OwnReport, request.KnownReports = true, s.loads.Own(), s.loads.Known()
	}
	for _, f := range s.feeds {
		request.Revisions = append(request.Revisions, knownRevision(f))
	}
	if request.LossDigest = s.losses.Digest(); request.LossDigest != s.agreedDigest {
		request.Losses, request.Crashes = s.losses.Losses(), s.losses.Crashes()
	}
	response, err := s.peers.Call(ctx, address, request)
	s.logPullResult(address, err)
	updates, ok := response.(wire.Updates)
	if err != nil || !ok {
		return false
	}
	s.loads.Merge(updates.Reports)
	s.losses.MergeLosses(updates.Losses, updates.Crashes)
	if digest := s.losses.Digest(); digest == updates.LossDigest {
		s.agreedDigest = digest
	}
	for _, p := range updates.Kinds {
		for _, f := range s.feeds {
			if f.Kind() == p.Kind {
				if f.Take(pageFromWire(p), address) {
					f.Confirm(p.Age + time.Since(start))
				}
			}
		}
	}
	return true
}

// knownRevision returns the era and the revision up to which a feed holds the changes.
func knownRevision(f *Feed) wire.KnownRevision {
	v := f.View()
	return wire.KnownRevision{Kind: f.Kind(), Era: v.Era(), Revision: v.Revision()}
}

// pullsPerLoadExchange returns n for a fleet in which every nth pull exchanges load reports.
func pullsPerLoadExchange(fleetSize int) int {
	if fleetSize <= smallFleetSize {
		return 1
	}
	return max(minPullsPerLoadExchange, (fleetSize+loadsPerPull-1)/loadsPerPull)
}

// logPullResult logs the first failed pull of a series and the first one that succeeds after it.
func (s *Swap) logPullResult(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err != nil) == s.failing {
		return
	}
	s.failing = err != nil
	if err != nil {
		s.log.WithError(err).WithField("peer", address).Warn("pull from a peer failed; trying others")
		return
	}
	s.log.WithField("peer", address).Info("pulls from peers succeed again")
}
