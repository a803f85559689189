package inst

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/board"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/feed"
	"bramleywharf.example/entry/filter"
	"bramleywharf.example/entry/fleet"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/pass"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	configPace  = 200 * time.Millisecond // configPace is the least time between two watches of the configuration, well within the 2 s in which it has to be in force.
	targetPace  = 400 * time.Millisecond // targetPace is the least time between two watches of the targets, weighed against the 2 s in which a leaving one must be free of new work.
	listPeriod  = 10 * time.Second       // listPeriod is the time between two reads of the list of instances; heartbeats carry the news in between.
	memoryShare = 0.6                    // memoryShare is the part of the machine's memory that the runtime tries to stay under.
	retryShare  = 0.8                    // retryShare is the part of the fleet's bound on repeats that instances take by themselves.
)

// Settings configures an instance.
type Settings struct {
	Self      member.Member // Self is this instance; its incarnation comes from the border.
	Readiness string        // Readiness is the address at which the platform asks whether the instance is ready.
	Directory string        // Directory is the address at which callers ask for instances.
	Metrics   string        // Metrics is the address of the metrics.
	Seeds     []string      // Seeds lists peer addresses to ask when the list of instances cannot be had.
	MemoryMB  int
	Grace     time.Duration // Grace is the time between the notice to stop and the end.
	Retries   retry.Bound   // Retries bounds the repeats of all instances together.
}

// Joiner makes an instance known in the store; each call is one try.
type Joiner interface {
	fleet.Lister
	// Announce stores the entry of this start and returns its incarnation, which grows with each start.
	Announce(ctx context.Context) (uint64, error)
	// Secret returns what all instances share; the first one to start draws it.
	Secret(ctx context.Context) ([]byte, error)
	// Places returns what SavePlaces stored last.
	Places(ctx context.Context) (map[string]string, error)
	// SavePlaces stores where the sessions of all instances run.
	SavePlaces(ctx context.Context, places map[string]string) error
	// Withdraw removes the entry.
	Withdraw(ctx context.Context) error
}

// Kind is one kind of objects of the store.
type Kind struct {
	Name   string
	Source feed.Source
}

// Borders are the ways out of an instance.
type Borders struct {
	Join         Joiner
	Config       Kind
	Targets      Kind
	DecodeConfig board.DecodeConfig
	DecodeTarget board.DecodeTarget
	Dialect      send.Dialect
	EchoHeader   string // EchoHeader names the header that targets repeat in their responses.
	// Front returns the handler of callers' requests before a chain.
	Front func(chain.Handler, filter.Sites) http.Handler
	// Lookup returns the handler that answers callers with the addresses to use.
	Lookup func(addresses func() []string) http.Handler
}

// Instance is a running instance.
type Instance struct {
	settings Settings
	borders  Borders
	log      log.Interface
	set      *metrics.Set
	peers    *peer.Quic
	swap     *feed.Swap
	board    *board.Board
	fleet    atomic.Pointer[fleet.Fleet]
	picker   *picker.Picker
	link     *link.Link
	callers  atomic.Pointer[http.Server]
	ready    atomic.Bool
	leave    sync.Once
	cancel   context.CancelFunc
	failed   chan error
	ran      chan struct{} // ran closes when the start is over, well or not.
	done     chan struct{}

	mu     sync.Mutex
	others []*http.Server
	parts  []func() // parts closes what was started, in the order of the starts.
}

// Start starts an instance; it is ready once it knows its configuration.
func Start(s Settings, b Borders, logger log.Interface, set *metrics.Set) (*Instance, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	i := &Instance{
		settings: s,
		borders:  b,
		log:      logger,
		set:      set,
		link:     link.New(link.Settings{EchoHeader: b.EchoHeader}, set),
		failed:   make(chan error, 1),
		ran:      make(chan struct{}),
		done:     make(chan struct{}),
	}
	if err := link.CheckUserTimeout(); err != nil {
		logger.WithError(err).Warn("unacknowledged bytes are noticed by probes alone")
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	if err := i.listen(s.Readiness, i.readiness()); err != nil {
		return nil, err
	}
	if err := i.listen(s.Metrics, scrape(set)); err != nil {
		return nil, err
	}
	go func() {
		defer close(i.ran)
		if err := i.run(ctx); err != nil && ctx.Err() == nil {
			i.fail(err)
		}
	}()
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

// Failed yields the error of a part that ended by itself.
func (i *Instance) Failed() <-chan error {
	return i.failed
}

// run joins the others, learns the configuration and takes callers.
func (i *Instance) run(ctx context.Context) error {
	var key []byte
	err := i.insist(ctx, "secret", func(ctx context.Context) (err error) {
		key, err = i.borders.Join.Secret(ctx)
		return err
	})
	if err != nil {
		return err
	}
	configs := feed.New(feed.Settings{Kind: i.borders.Config.Name, Pace: configPace}, i.borders.Config.Source, i.log, i.set)
	servers := feed.New(feed.Settings{Kind: i.borders.Targets.Name, Pace: targetPace}, i.borders.Targets.Source, i.log, i.set)
	i.part(configs.Close)
	i.part(servers.Close)
	i.board = board.New(configs, i.borders.DecodeConfig, i.log)
	i.part(i.board.Close)
	i.picker = picker.New(board.NewTargets(servers, i.borders.DecodeTarget, i.log), i.link.Drop, i.log, i.set)
	i.part(i.picker.Close)
	self := i.settings.Self
	err = i.insist(ctx, "announce", func(ctx context.Context) (err error) {
		self.Incarnation, err = i.borders.Join.Announce(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if places, err := i.borders.Join.Places(ctx); err != nil {
		i.log.WithError(err).Info("places of sessions are not known")
	} else {
		i.picker.Restore(places)
	}
	i.picker.Name(self.Name, self.Incarnation)
	joined := make(chan struct{})
	i.peers, err = peer.NewQuic(self.PeerAddress, key, i.handlePeer(joined), i.set)
	if err != nil {
		return fmt.Errorf("start peer transport: %w", err)
	}
	i.part(i.peers.Close)
	i.swap = feed.NewSwap(i.peers, i.picker, i.log, configs, servers)
	members := fleet.New(fleet.Settings{Self: self, Seeds: i.settings.Seeds, ListPeriod: listPeriod}, i.peers, i.borders.Join, i.swap, i.log, i.set)
	i.part(members.Close)
	i.fleet.Store(members)
	close(joined)
	i.swap.Start(members)
	i.part(i.swap.Close)
	saver := newSaver(i, members)
	i.part(saver.Close)
	configs.Assign(members)
	servers.Assign(members)
	if err := i.learn(ctx, configs, servers); err != nil {
		return err
	}
	return i.open(members)
}

// addresses returns where callers may connect.
func (i *Instance) addresses() []string {
	members := i.fleet.Load()
	return members.View().Callable(members.Self().Name, i.ready.Load())
}

// fail reports the error of a part that ended by itself; the first one counts.
func (i *Instance) fail(err error) {
	select {
	case i.failed <- err:
	default:
		i.log.WithError(err).Error("another part failed")
	}
}

// handlePeer answers other instances once the controllers are there.
func (i *Instance) handlePeer(joined <-chan struct{}) peer.Handler {
	return func(ctx context.Context, m wire.Message) wire.Message {
		select {
		case <-joined:
		case <-ctx.Done():
			return wire.Failed{Reason: "not ready"}
		}
		switch m := m.(type) {
		case wire.Gossip:
			return i.fleet.Load().Handle(ctx, m)
		case wire.Pull:
			return i.swap.Handle(m)
		default:
			return wire.Failed{Reason: "not a question"}
		}
	}
}

// learn waits until the configuration and the targets are known.
func (i *Instance) learn(ctx context.Context, configs, servers *feed.Feed) error {
	for i.board.Config() == nil || servers.View().At() == 0 {
		select {
		case <-i.board.Changed():
		case <-servers.Changed():
		case <-time.After(joinPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// open takes callers.
func (i *Instance) open(members *fleet.Fleet) error {
	sender := send.New(send.Settings{Retries: i.retries, Fleet: i.settings.Retries, Size: func() int { return i.fleet.Load().View().Len() }}, i.link, i.picker, i.borders.Dialect, i.log, i.set)
	handler := chain.Build(pass.New(sender).Handle,
		filter.NewTrace(i.log, i.set),
		filter.NewRecord(i.set, i.log),
		filter.NewLocate(i.board),
		filter.Noted{},
	)
	limits := i.board.Config().Limits
	idles := newIdles(func() time.Duration { return i.board.Config().Limits.Idle })
	i.part(idles.Close)
	callers := &http.Server{
		Handler:           i.borders.Front(handler, i.board),
		ReadHeaderTimeout: limits.HeaderTimeout,
		MaxHeaderBytes:    limits.Header,
		ConnState:         idles.note,
	}
	if err := i.serve(callers, members.Self().CallerAddress); err != nil {
		return err
	}
	i.callers.Store(callers)
	if err := i.listen(i.settings.Directory, i.borders.Lookup(i.addresses)); err != nil {
		return err
	}
	i.ready.Store(true)
	i.log.WithField("config-version", i.board.Config().Version).Info("ready")
	return nil
}

// listen starts a small server on an address.
func (i *Instance) listen(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	i.mu.Lock()
	i.others = append(i.others, server)
	i.mu.Unlock()
	return i.serve(server, address)
}

// part remembers how to close what was started.
func (i *Instance) part(closing func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.parts = append(i.parts, closing)
}

// readiness answers the platform's own checks.
func (i *Instance) readiness() http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// retries returns this instance's share of the fleet's bound on repeats; the slack is parted among all members, lost ones included.
func (i *Instance) retries() retry.Bound {
	bound := i.settings.Retries
	slack := retryShare * float64(bound.Slack) / float64(max(1, i.fleet.Load().View().Len()))
	return retry.Bound{Ratio: retryShare * bound.Ratio, Slack: int(slack)}
}

// serve starts a server on an address.
func (i *Instance) serve(server *http.Server, address string) error {
	config := net.ListenConfig{
		KeepAliveConfig: link.KeepAlive(),
		Control:         link.BoundUnacknowledged,
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			i.fail(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return nil
}

// scrape answers with all metrics.
func scrape(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}
}
