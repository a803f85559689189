package boot

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/token"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/internal/admin"
	"bramleywharf.example/entry/internal/chain"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/filter"
	"bramleywharf.example/entry/internal/fleet"
	"bramleywharf.example/entry/internal/front"
	"bramleywharf.example/entry/internal/keep"
	"bramleywharf.example/entry/internal/lend"
	"bramleywharf.example/entry/internal/once"
	"bramleywharf.example/entry/internal/pool"
	"bramleywharf.example/entry/internal/relay"
	"bramleywharf.example/entry/internal/serve"
	"bramleywharf.example/entry/internal/watch"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	readHeaderTimeout = 5 * time.Second // readHeaderTimeout bounds the time that a caller may take to send its headers.
	maxHeader         = 32 << 10        // maxHeader bounds the headers of a request, in bytes.
)

// Instance is a running entry instance.
type Instance struct {
	settings Settings
	log      log.Interface
	peers    *peer.Quic
	fleet    *fleet.Fleet
	watch    *watch.Watch
	pool     *pool.Pool
	keep     *keep.Keep
	lend     *lend.Lend
	once     *once.Once
	issuer   *once.Issuer
	front    *front.Front
	callers  *http.Server
	admin    *http.Server
	leave    sync.Once
	leaving  chan struct{}
	failed   chan error
	done     chan struct{}
}

// Start starts an instance with checked settings.
func Start(s Settings, logger log.Interface) (*Instance, error) {
	set := metrics.NewSet()
	sealer, err := token.NewSealer([]byte(s.FleetSecret))
	if err != nil {
		return nil, fmt.Errorf("set up event ids: %w", err)
	}
	i := &Instance{
		settings: s,
		log:      logger,
		leaving:  make(chan struct{}),
		failed:   make(chan error, 2),
		done:     make(chan struct{}),
	}
	ready := make(chan struct{})
	i.peers, err = peer.NewQuic(s.PeerListen, []byte(s.FleetSecret), i.handlePeer(ready), set)
	if err != nil {
		return nil, fmt.Errorf("start peer transport: %w", err)
	}
	if err := i.build(set, sealer); err != nil {
		i.peers.Close()
		return nil, err
	}
	close(ready)
	if err := i.listen(set); err != nil {
		i.stop()
		return nil, err
	}
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

// Failed yields the error of a server that ended by itself.
func (i *Instance) Failed() <-chan error {
	return i.failed
}

// Leave stops the instance without cutting a request: it is left out of address answers, then takes no new calls, then ends when the last call has its answer.
func (i *Instance) Leave() {
	i.leave.Do(func() {
		close(i.leaving)
		i.log.Info("leaving")
		go i.drain()
	})
}

// build puts the controllers and the chain together.
func (i *Instance) build(set *metrics.Set, sealer *token.Sealer) error {
	s := i.settings
	platform := store.NewCounted(store.NewHTTP(s.Platform, s.PlatformToken, http.DefaultTransport), set)
	engines := engine.NewHTTP(nil)
	epoch := uint64(time.Now().UnixMilli())
	self := member.Member{
		Name:          s.Name,
		Domain:        s.Domain,
		CallerAddress: orElse(s.Advertise, s.Listen),
		PeerAddress:   orElse(s.PeerAdvertise, s.PeerListen),
		Incarnation:   epoch,
	}
	i.watch = watch.New(platform, i.peers, i.log, set)
	i.fleet = fleet.New(fleet.Settings{Self: self, Seeds: s.Seeds}, i.peers, platform, i.watch, i.log, set)
	i.watch.Start(i.fleet)
	i.pool = pool.New(pool.Settings{Self: s.Name, Domain: s.Domain, Subset: s.Subset}, i.watch, engines, i.log, set)
	i.keep = keep.New(keep.Settings{Costly: s.Costly, Linger: s.Linger}, i.fleet, i.pool, engines, i.peers, set)
	i.lend = lend.New(i.fleet, i.watch, i.peers, set)
	issuer, err := once.NewIssuer(s.Name, epoch, []byte(s.FleetSecret), i.fleet, i.peers)
	if err != nil {
		return fmt.Errorf("set up issued keys: %w", err)
	}
	i.issuer = issuer
	i.once = once.New(s.Name, platform, i.pool, engine.NewCaller(nil), issuer, set)
	runner := relay.New(s.Name, engines, i.pool, i.keep, sealer, set)
	server := serve.New(i.fleet, runner, i.once, i.keep, i.peers, sealer)
	handler := chain.Build(server.Handle,
		filter.NewRecord(set, i.log),
		filter.NewIdentify(i.watch),
		filter.Check{},
		filter.NewLimit(i.lend),
	)
	i.front = front.New(handler, issuer)
	return nil
}

// drain lets callers find other instances, then waits for the last call.
func (i *Instance) drain() {
	i.fleet.Leave()
	time.Sleep(i.settings.LameDuck)
	i.front.Shut()
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	if err := i.callers.Shutdown(ctx); err != nil {
		i.log.WithError(err).Error("drain timeout passed; calls are cut")
	}
	i.once.Close()
	i.stop()
	i.log.Info("stopped")
}

// handlePeer answers other instances once the controllers are there.
func (i *Instance) handlePeer(ready <-chan struct{}) peer.Handler {
	return func(ctx context.Context, m wire.Message) wire.Message {
		select {
		case <-ready:
		case <-ctx.Done():
			return wire.Failed{Reason: "not ready"}
		}
		switch m := m.(type) {
		case wire.Gossip:
			return i.fleet.Handle(ctx, m)
		case wire.PullConfig:
			return i.watch.Handle(m)
		case wire.Keep:
			return i.keep.Handle(m)
		case wire.Adopt:
			return i.keep.Adopt(m)
		case wire.Borrow:
			return i.lend.Handle(m)
		case wire.Spend:
			return i.spend(ctx, m)
		default:
			return wire.Failed{Reason: "not a question"}
		}
	}
}

// listen starts the servers for callers and operators.
func (i *Instance) listen(set *metrics.Set) error {
	i.callers = &http.Server{Handler: i.front, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeader}
	operators := admin.New(admin.Parts{
		Set:          set,
		Watch:        i.watch,
		Fleet:        i.fleet,
		Pool:         i.pool,
		OperatorHash: i.settings.OperatorHash,
		Leave:        i.Leave,
		Leaving:      i.leaving,
	})
	i.admin = &http.Server{Handler: operators, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeader}
	if err := i.serve(i.callers, i.settings.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := i.serve(i.admin, i.settings.AdminListen); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

// serve starts a server on an address.
func (i *Instance) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			i.failed <- fmt.Errorf("serve %s: %w", address, err)
		}
	}()
	return nil
}

// spend runs a call for a peer whose caller brought a key that was issued here.
func (i *Instance) spend(ctx context.Context, m wire.Spend) wire.Message {
	service, ok := i.watch.Snapshot().Service(m.Service)
	if !ok {
		return wire.Failed{Reason: "unknown service " + strconv.Quote(m.Service)}
	}
	return i.issuer.Handle(ctx, i.once, serve.Declared(service, m.Method, m.Path), m)
}

// stop ends the controllers, those that use others first.
func (i *Instance) stop() {
	if i.admin != nil {
		_ = i.admin.Close()
	}
	if i.callers != nil {
		_ = i.callers.Close()
	}
	i.lend.Close()
	i.keep.Stop()
	i.pool.Close()
	i.watch.Close()
	i.fleet.Close()
	i.peers.Close()
	close(i.done)
}

// orElse returns a value or, when it is empty, another.
func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}
