package inst

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/board"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/feed"
	"bramleywharf.example/entry/filter"
	"bramleywharf.example/entry/fleet"
	"bramleywharf.example/entry/internal/conns"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/outbox"
	"bramleywharf.example/entry/pass"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"bramleywharf.example/entry/shift"
	"bramleywharf.example/entry/stop"
	"bramleywharf.example/entry/stored"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// configWatchInterval is the least time between two watches of the configuration. A change has to be applied
	// within 2 s.
	configWatchInterval = 200 * time.Millisecond
	// targetWatchInterval is the least time between two watches of the targets. A draining target must get no new
	// work after 2 s; more watches would cost more, as each is billed.
	targetWatchInterval = 400 * time.Millisecond
	// memberListInterval is the time between two reads of the list of instances; heartbeats spread changes in between.
	memberListInterval = 10 * time.Second
	// auxHeaderTimeout bounds the wait for the headers of a request to the auxiliary servers.
	auxHeaderTimeout = 2 * time.Second
	// joinTimeout bounds the wait for what the other instances know, such as the parts of prompts that crash targets.
	joinTimeout = time.Second
	// localRetryShare is the part of the fleet's bound on retries that instances use without knowledge of each other.
	localRetryShare = 0.8
)

// Settings configures an instance.
type Settings struct {
	Self      member.Member // Self is this instance; its incarnation is set by Joiner.Announce.
	Readiness string        // Readiness is the listen address of the readiness probe.
	Directory string        // Directory is the listen address at which callers ask for instances.
	Metrics   string        // Metrics is the listen address of the metrics.
	Tuning    TuningCell    // Tuning holds the settings that may change while the instance runs.
}

// Tuning is the part of the settings that may change while an instance runs. It is immutable.
type Tuning struct {
	Seeds    []string      // Seeds lists peer addresses to ask when the list of instances cannot be read.
	MemoryMB int           // MemoryMB is the machine's memory; 0 sets no limit.
	Grace    time.Duration // Grace is the time from the signal to stop until the process is killed.
	Retries  retry.Bound   // Retries bounds the retries of all instances together.
	// BufferStreams makes the instance hold events for callers that read slowly, within its memory.
	BufferStreams bool
	AddressReuse  time.Duration // AddressReuse is how long the address of an ended target stays with its service.
	ExposeShare   float64       // ExposeShare is the largest part of a service's requests that a bad version may receive.
}

// TuningCell returns the tuning in force, and a channel that closes when it changes.
type TuningCell interface {
	Load() Tuning
	Changed() <-chan struct{}
}

// Joiner registers an instance in the store; each call is one attempt.
type Joiner interface {
	fleet.Lister
	// Announce stores the entry of this instance and returns its incarnation, which grows with each start.
	Announce(ctx context.Context) (uint64, error)
	// Secret returns the secret that all instances share; the first one to start generates it.
	Secret(ctx context.Context) ([]byte, error)
	// Places returns the target of each session as stored last by SavePlaces.
	Places(ctx context.Context) (map[string]string, error)
	// SavePlaces stores the target of each session, of all instances.
	SavePlaces(ctx context.Context, sessionTargets map[string]string) error
	// Restore stores the entry of this instance and the shared secret again, unless the store holds them.
	Restore(ctx context.Context, secret []byte) error
	// Withdraw removes the entry of this instance.
	Withdraw(ctx context.Context) error
}

// Kind is one kind of stored objects.
type Kind struct {
	Name   string
	Source feed.Source
}

// Borders are the platform-specific parts of an instance: its access to the store and all encodings.
type Borders struct {
	Join         Joiner
	Config       Kind
	Targets      Kind
	DecodeConfig board.DecodeConfig
	DecodeTarget board.DecodeTarget
	RollOuts     *RollOuts      // RollOuts is nil if roll-outs are off.
	Records      stored.Records // Records stores objects of this program.
	SharedKind   string         // SharedKind is the kind of the objects that all instances share.
	Dialect      send.Dialect
	EchoHeader   string // EchoHeader is the request header that targets copy to their responses.
	// Front returns the HTTP handler that passes callers' requests to a chain.
	Front func(chain.Handler, filter.Sites) http.Handler
	// Lookup returns the HTTP handler that tells callers which instances to use.
	Lookup func(addresses func() []string) http.Handler
}

// Instance is a running instance.
type Instance struct {
	settings      Settings
	deps          Borders
	log           log.Interface
	set           *metrics.Set
	peerTransport *peer.QUIC
	exchange      *feed.Swap
	board         *board.Board
	fleet         atomic.Pointer[fleet.Fleet]
	restorer      atomic.Pointer[restorer]
	picker        *picker.Picker
	shift         *shift.Shift // shift is nil if roll-outs are off.
	blocks        *block.Block
	link          *link.Link
	bodies        *quota.Budget // bodies bounds the memory of the bodies that are held at a time.
	callerServer  atomic.Pointer[conns.Server]
	ready         atomic.Bool
	stopping      *stop.Stop
	leaveOnce     sync.Once
	cancel        context.CancelFunc
	failed        chan error
	startDone     chan struct{} // startDone is closed when startUp has returned.
	done          chan struct{}

	mu         sync.Mutex
	leaving    bool           // leaving tells that the instance must neither open its server for callers nor become ready.
	auxServers []*http.Server // auxServers serve readiness, metrics and the directory.
	closers    []func()       // closers close the components, in the order in which they were started.
}

// Start starts an instance; it is ready once it has received its configuration.
func Start(s Settings, d Borders, logger log.Interface, set *metrics.Set) (*Instance, error) {
	i := &Instance{
		settings:  s,
		deps:      d,
		log:       logger,
		set:       set,
		link:      link.New(link.Settings{EchoHeader: d.EchoHeader}, set),
		bodies:    quota.New(0),
		failed:    make(chan error, 1),
		startDone: make(chan struct{}),
		done:      make(chan struct{}),
	}
	i.stopping = stop.New(stop.Settings{Grace: i.graceLength, Elsewhere: func() bool { return i.fleet.Load().View().MostStay() }})
	if err := link.CheckUserTimeout(); err != nil {
		logger.WithError(err).Warn("TCP user timeout cannot be set; only keep-alive probes detect dead connections")
	}
	set.NewGauge("bramleywharf_body_bytes", func() float64 { return float64(i.bodies.Used()) })
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	if err := i.serveAux(s.Readiness, i.readinessHandler()); err != nil {
		return nil, err
	}
	if err := i.serveAux(s.Metrics, metricsHandler(set)); err != nil {
		return nil, err
	}
	i.addCloser(newMemoryBounds(s.Tuning, i.bodies).Close)
	go func() {
		defer close(i.startDone)
		if err := i.startUp(ctx); err != nil && ctx.Err() == nil {
			i.reportFailure(err)
		}
	}()
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

// Failed returns a channel that receives the first error of a component that failed.
func (i *Instance) Failed() <-chan error {
	return i.failed
}

// startUp joins the fleet, waits for the configuration and then accepts callers.
func (i *Instance) startUp(ctx context.Context) error {
	var secret []byte
	err := i.retryUntilDone(ctx, "secret", func(ctx context.Context) (err error) {
		secret, err = i.deps.Join.Secret(ctx)
		return err
	})
	if err != nil {
		return err
	}
	configFeed := feed.New(
		feed.Settings{Kind: i.deps.Config.Name, Pace: configWatchInterval, Urgent: true},
		i.deps.Config.Source, i.log, i.set,
	)
	targetFeed := feed.New(
		feed.Settings{Kind: i.deps.Targets.Name, Pace: targetWatchInterval},
		i.deps.Targets.Source, i.log, i.set,
	)
	i.addCloser(configFeed.Close)
	i.addCloser(targetFeed.Close)
	i.board = board.New(configFeed, i.deps.DecodeConfig, i.log)
	i.addCloser(i.board.Close)
	i.picker = picker.New(board.NewTargets(targetFeed, i.deps.DecodeTarget, i.log), i.link.Drop, i.log, i.set)
	i.addCloser(i.picker.Close)
	rollOutFeeds := i.startRollOuts()
	i.blocks = block.New(i.log, i.set)
	self, announcedEra := i.settings.Self, targetFeed.Era()
	err = i.retryUntilDone(ctx, "announce", func(ctx context.Context) (err error) {
		self.Incarnation, err = i.announce(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if sessionTargets, err := i.deps.Join.Places(ctx); err != nil {
		i.log.WithError(err).Info("targets of sessions cannot be read; starting without them")
	} else {
		i.picker.Restore(sessionTargets)
	}
	i.picker.Name(self.Name, self.Incarnation)
	joined := make(chan struct{})
	i.peerTransport, err = peer.NewQUIC(self.PeerAddress, secret, i.peerHandler(joined), i.set)
	if err != nil {
		return fmt.Errorf("start peer transport: %w", err)
	}
	i.addCloser(i.peerTransport.Close)
	i.exchange = feed.NewSwap(i.peerTransport, i.picker, i.blocks, i.log, i.set, append([]*feed.Feed{configFeed, targetFeed}, rollOutFeeds...)...)
	members := fleet.New(
		fleet.Settings{Self: self, Seeds: i.settings.Tuning.Load().Seeds, ListPeriod: memberListInterval},
		i.peerTransport, i.deps.Join, i.exchange, i.log, i.set,
	)
	i.addCloser(members.Close)
	i.fleet.Store(members)
	close(joined)
	i.exchange.Start(members)
	i.addCloser(i.exchange.Close)
	losses := i.startRecall(members)
	saver := newSessionSaver(i, members)
	i.addCloser(saver.Close)
	i.restorer.Store(newRestorer(i, announcedEra, secret))
	i.addCloser(i.restorer.Load().Close)
	for _, f := range append(rollOutFeeds, configFeed, targetFeed) {
		f.Assign(members)
	}
	if err := i.waitForConfig(ctx, configFeed, targetFeed); err != nil {
		return err
	}
	select {
	case <-i.exchange.Joined():
	case <-time.After(joinTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := i.waitForRollOuts(ctx, members); err != nil {
		return err
	}
	if err := waitForLosses(ctx, losses); err != nil {
		return err
	}
	i.picker.Reconcile() // The feed can have targets that the picker's own loop has not applied yet.
	return i.acceptCallers(members)
}

// callerAddresses returns the addresses of the instances that callers may use.
func (i *Instance) callerAddresses() []string {
	members := i.fleet.Load()
	return members.View().CallerAddresses(members.Self().Name, i.ready.Load())
}

// reportFailure sends the error of a component to the channel of Failed; errors after the first are only logged.
func (i *Instance) reportFailure(err error) {
	select {
	case i.failed <- err:
	default:
		i.log.WithError(err).Error("another component failed")
	}
}

// peerHandler answers other instances, as soon as joined is closed.
func (i *Instance) peerHandler(joined <-chan struct{}) peer.Handler {
	return func(ctx context.Context, m wire.Message) wire.Message {
		select {
		case <-joined:
		case <-ctx.Done():
			return wire.Failure{Reason: "not ready"}
		}
		switch m := m.(type) {
		case wire.Gossip:
			return i.fleet.Load().Handle(ctx, m)
		case wire.PullUpdates:
			return i.exchange.Handle(m)
		default:
			return wire.Failure{Reason: "not a question"}
		}
	}
}

// waitForConfig waits until the configuration and the targets are received.
func (i *Instance) waitForConfig(ctx context.Context, configFeed, targetFeed *feed.Feed) error {
	for i.board.Config() == nil || targetFeed.View().Revision() == 0 {
		select {
		case <-i.board.Changed():
		case <-targetFeed.Changed():
		case <-time.After(storeRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// acceptCallers starts the servers for callers and marks the instance as ready.
func (i *Instance) acceptCallers(members *fleet.Fleet) error {
	sender := send.New(send.Settings{
		Retries: i.localRetryBound,
		Fleet:   func() retry.Bound { return i.settings.Tuning.Load().Retries },
		Size:    func() int { return i.fleet.Load().View().Len() },
		Blocks:  i.blocks,

		AddressReuse: func() time.Duration { return i.settings.Tuning.Load().AddressReuse },
		Stop:         i.stopping,
		Shift:        i.shift,
	}, i.link, i.picker, i.deps.Dialect, i.log, i.set)
	handler := chain.Build(pass.New(sender).Handle,
		filter.NewTrace(i.log, i.set),
		filter.NewRecord(i.set, i.log),
		filter.NewStop(i.stopping, i.log, i.set),
		filter.NewLocate(i.board),
		filter.Noted{},
		filter.NewReject(i.stopping),
		filter.NewBlock(i.blocks),
		filter.NewBuffer(outbox.NewSet(i.bodies, i.log, i.set), func() bool { return i.settings.Tuning.Load().BufferStreams }),
	)
	callerServer := conns.New(
		conns.Settings{
			IdleLimit: func() time.Duration { return i.board.Config().Limits.IdleTimeout },
			Head:      i.headLimits,
			IDHeader:  i.deps.EchoHeader,
		},
		&http.Server{
			Handler:        boundMemory(i.bodies, i.deps.Front(handler, i.board)),
			MaxHeaderBytes: site.MaxHeaderBytes,
		},
		i.log, i.set,
	)
	i.addCloser(callerServer.Close)
	if !i.admit(callerServer) {
		return nil
	}
	if err := i.serve(callerServer, members.Self().CallerAddress); err != nil {
		return err
	}
	if err := i.serveAux(i.settings.Directory, i.deps.Lookup(i.callerAddresses)); err != nil {
		return err
	}
	if i.becomeReady() {
		i.log.WithField("config-version", i.board.Config().Version).Info("instance is ready")
	}
	return nil
}

// headLimits returns the limits of the version in force on heads of requests.
func (i *Instance) headLimits() conns.HeadLimits {
	limits := i.board.Config().Limits
	return conns.HeadLimits{Timeout: limits.HeaderTimeout, Bytes: limits.HeaderBytes}
}

// addCloser registers the function that closes a component when the instance stops.
func (i *Instance) addCloser(closer func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closers = append(i.closers, closer)
}

// localRetryBound returns this instance's share of the fleet's bound on retries. The slack is divided among all known
// members, including dead ones.
func (i *Instance) localRetryBound() retry.Bound {
	bound := i.settings.Tuning.Load().Retries
	slack := localRetryShare * float64(bound.Slack) / float64(max(1, i.fleet.Load().View().Len()))
	return retry.Bound{Ratio: localRetryShare * bound.Ratio, Slack: int(slack)}
}
