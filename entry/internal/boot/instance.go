package boot

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/meter"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/internal/admin"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/front"
	"bramleywharf.example/entry/internal/node"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	readHeaderTimeout   = 5 * time.Second // readHeaderTimeout bounds the time that a caller may take to send its headers.
	platformDialTimeout = time.Second     // platformDialTimeout bounds the wait for a connection to the platform.
	maxHeader           = 32 << 10        // maxHeader bounds the headers of a request, in bytes.
)

// Instance is a running entry instance.
type Instance struct {
	settings Settings
	log      log.Interface
	peers    *peer.Quic
	node     *node.Node
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
	i := &Instance{
		settings: s,
		log:      logger,
		leaving:  make(chan struct{}),
		failed:   make(chan error, 2),
		done:     make(chan struct{}),
	}
	ready := make(chan struct{})
	var err error
	i.peers, err = peer.NewQuic(s.PeerListen, []byte(s.FleetSecret), i.handlePeer(ready), set)
	if err != nil {
		return nil, fmt.Errorf("start peer transport: %w", err)
	}
	i.node, err = node.New(s.node(), node.Borders{
		Platform: store.NewHTTP(s.Platform, s.PlatformToken, platformTransport(set)),
		Engines:  engine.NewHTTP(set),
		Services: engine.NewCaller(nil),
		Peers:    i.peers,
	}, logger, set)
	if err != nil {
		i.peers.Close()
		return nil, fmt.Errorf("start controllers: %w", err)
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

// drain lets callers find other instances, then waits for the last call.
func (i *Instance) drain() {
	i.node.Fleet.Leave()
	time.Sleep(i.settings.LameDuck)
	i.front.Shut()
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	if err := i.callers.Shutdown(ctx); err != nil {
		i.log.WithError(err).Error("drain timeout passed; calls are cut")
	}
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
		return i.node.HandlePeer(ctx, m)
	}
}

// listen starts the servers for callers and operators.
func (i *Instance) listen(set *metrics.Set) error {
	i.front = front.New(i.node.Handle, i.node.Issuer)
	i.callers = &http.Server{Handler: i.front, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeader}
	operators := admin.New(admin.Parts{
		Set:          set,
		Watch:        i.node.Watch,
		Fleet:        i.node.Fleet,
		Pool:         i.node.Pool,
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

// platformTransport returns the transport to the platform, whose bytes are counted.
func platformTransport(set *metrics.Set) *http.Transport {
	dial := (&net.Dialer{Timeout: platformDialTimeout}).DialContext
	return &http.Transport{DialContext: meter.Counted(dial, set.GetOrCreateCounter("bramleywharf_platform_bytes_total"))}
}

// stop ends the servers and the node.
func (i *Instance) stop() {
	if i.admin != nil {
		_ = i.admin.Close()
	}
	if i.callers != nil {
		_ = i.callers.Close()
	}
	i.node.Close()
	i.peers.Close()
	close(i.done)
}

// node returns the settings of the instance's inside; the incarnation grows with each start.
func (s Settings) node() node.Settings {
	return node.Settings{
		Self: member.Member{
			Name:          s.Name,
			Domain:        s.Domain,
			CallerAddress: orElse(s.Advertise, s.Listen),
			PeerAddress:   orElse(s.PeerAdvertise, s.PeerListen),
			Incarnation:   uint64(time.Now().UnixMilli()),
		},
		Secret: []byte(s.FleetSecret),
		Seeds:  s.Seeds,
		Budget: s.Budget,
		Costly: s.Costly,
		Linger: s.Linger,
	}
}

// orElse returns a value or, when it is empty, another.
func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}
