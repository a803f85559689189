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
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/admin"
	"bramleywharf.example/entry/internal/conns"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/front"
	"bramleywharf.example/entry/internal/node"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	readHeaderTimeout   = 5 * time.Second // readHeaderTimeout bounds the time that a client may take to send its headers.
	platformDialTimeout = time.Second     // platformDialTimeout bounds the wait for a connection to the platform.
	lastAnswerTimeout   = time.Second     // lastAnswerTimeout bounds the answers to calls that are open after the drain timeout.
	maxHeaderBytes      = 32 << 10        // maxHeaderBytes bounds the headers of a request.
)

// Instance is a running entry instance.
type Instance struct {
	settings     Settings
	log          log.Interface
	peers        *peer.QUIC
	node         *node.Node
	front        *front.Front
	callerServer *conns.Server
	adminServer  *http.Server
	leaveOnce    sync.Once
	leaving      chan struct{}
	failed       chan error
	done         chan struct{}
}

// Start starts an instance with settings that have passed Check.
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
	i.peers, err = peer.NewQUIC(s.PeerListen, []byte(s.FleetSecret), i.peerHandler(ready), set)
	if err != nil {
		return nil, fmt.Errorf("start peer transport: %w", err)
	}
	i.node, err = node.New(s.nodeSettings(), node.Borders{
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
	if err := i.startServers(set); err != nil {
		i.stop()
		return nil, err
	}
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

// Failed returns a channel that receives the error of a server that stopped by itself.
func (i *Instance) Failed() <-chan error {
	return i.failed
}

// Leave starts a graceful stop and returns at once. The instance is left out of address look-ups, then refuses new
// calls, and stops when the last call has its answer or the drain timeout has passed.
func (i *Instance) Leave() {
	i.leaveOnce.Do(func() {
		close(i.leaving)
		i.log.Info("leaving the fleet; new calls are refused after the lame-duck time")
		go i.drain()
	})
}

// drain tells the fleet that this instance is leaving, then accepts new calls for the lame-duck time, since callers
// may still hold its address; answers close their connections. After that it refuses new calls, waits for those in
// progress and stops.
func (i *Instance) drain() {
	i.callerServer.Leave()
	i.node.Fleet.Leave()
	time.Sleep(i.settings.LameDuck)
	i.front.Shut()
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	if err := i.callerServer.Drain(ctx); err != nil {
		i.log.WithError(err).Error("drain timeout passed; ending open calls")
		i.callerServer.EndCalls(chain.ErrStopping)
		ctx, cancel := context.WithTimeout(context.Background(), lastAnswerTimeout)
		defer cancel()
		if err := i.callerServer.Drain(ctx); err != nil {
			i.log.WithError(err).Error("closing connections with open calls")
		}
	}
	i.stop()
	i.log.Info("stopped")
}

// peerHandler returns the handler of messages from other instances, which wait until ready is closed.
func (i *Instance) peerHandler(ready <-chan struct{}) peer.Handler {
	return func(ctx context.Context, m wire.Message) wire.Message {
		select {
		case <-ready:
		case <-ctx.Done():
			return wire.Failure{Reason: "not ready"}
		}
		return i.node.HandlePeer(ctx, m)
	}
}

// startServers starts the HTTP servers for callers and operators.
func (i *Instance) startServers(set *metrics.Set) error {
	i.front = front.New(i.node.Handle, i.node.Issuer)
	i.callerServer = conns.New(
		conns.Settings{IdleLimit: func() time.Duration { return 0 }},
		&http.Server{Handler: i.front, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
		i.log, set,
	)
	adminHandler := admin.New(admin.Parts{
		Set:          set,
		Watch:        i.node.Watch,
		Fleet:        i.node.Fleet,
		Pool:         i.node.Pool,
		OperatorHash: i.settings.OperatorHash,
		Leave:        i.Leave,
		Leaving:      i.leaving,
	})
	i.adminServer = &http.Server{Handler: adminHandler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	if err := i.startServer(i.callerServer, i.settings.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := i.startServer(i.adminServer, i.settings.AdminListen); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

// startServer listens on an address and serves in the background.
func (i *Instance) startServer(server interface{ Serve(net.Listener) error }, address string) error {
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

// platformTransport returns an HTTP transport that counts the bytes to and from the platform in a metric.
func platformTransport(set *metrics.Set) *http.Transport {
	dial := (&net.Dialer{Timeout: platformDialTimeout}).DialContext
	return &http.Transport{DialContext: meter.CountBytes(dial, set.GetOrCreateCounter("bramleywharf_platform_bytes_total"))}
}

// stop closes the servers, the controllers and the peer transport, cutting what is still open.
func (i *Instance) stop() {
	if i.adminServer != nil {
		_ = i.adminServer.Close()
	}
	if i.callerServer != nil {
		i.callerServer.Close()
	}
	i.node.Close()
	i.peers.Close()
	close(i.done)
}

// nodeSettings returns the settings of the controllers. The incarnation is the start time, so that it grows with
// each start.
func (s Settings) nodeSettings() node.Settings {
	return node.Settings{
		Self: member.Member{
			Name:          s.Name,
			Domain:        s.Domain,
			CallerAddress: orDefault(s.Advertise, s.Listen),
			PeerAddress:   orDefault(s.PeerAdvertise, s.PeerListen),
			Incarnation:   uint64(time.Now().UnixMilli()),
		},
		Secret: []byte(s.FleetSecret),
		Seeds:  s.Seeds,
		Budget: s.Budget,
		Costly: s.Costly,
		Linger: s.Linger,
	}
}

// orDefault returns the value or, if it is empty, the fallback.
func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
