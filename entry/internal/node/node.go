package node

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/filter"
	"bramleywharf.example/entry/fleet"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/gate"
	"bramleywharf.example/entry/internal/keep"
	"bramleywharf.example/entry/internal/lend"
	"bramleywharf.example/entry/internal/once"
	"bramleywharf.example/entry/internal/pool"
	"bramleywharf.example/entry/internal/relay"
	"bramleywharf.example/entry/internal/serve"
	"bramleywharf.example/entry/internal/steer"
	"bramleywharf.example/entry/internal/watch"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Settings configures a node.
type Settings struct {
	Self   member.Member
	Secret []byte        // Secret, shared by the fleet, protects event ids and issued keys.
	Seeds  []string      // Seeds are peer addresses at which to join the fleet.
	Budget int           // Budget is the number of engines to watch, divided evenly among the models.
	Costly int           // Costly is the number of tokens from which a generation's prompt and tokens are replicated.
	Linger time.Duration // Linger is how long a generation keeps running after its caller left.
}

// Borders are the clients through which a node makes its outgoing calls.
type Borders struct {
	Platform store.Store
	Engines  engine.Client
	Services engine.Caller
	Peers    peer.Client
}

// Node is an entry instance without its servers.
type Node struct {
	Fleet   *fleet.Fleet
	Issuer  *once.Issuer
	Pool    *pool.Pool
	Watch   *watch.Watch
	handler chain.Handler
	gate    *gate.Gate
	keep    *keep.Keep
	lend    *lend.Lend
	once    *once.Once
	steer   *steer.Steer
	done    chan struct{}
}

// New returns a node whose controllers are running.
func New(s Settings, b Borders, logger log.Interface, set *metrics.Set) (*Node, error) {
	sealer, err := cursor.NewSealer(s.Secret)
	if err != nil {
		return nil, fmt.Errorf("set up event ids: %w", err)
	}
	n := &Node{done: make(chan struct{})}
	platform := store.NewInstrumented(b.Platform, set)
	n.Watch = watch.New(platform, b.Peers, logger, set)
	n.Fleet = fleet.New(fleet.Settings{Self: s.Self, Seeds: s.Seeds}, b.Peers, platform, n.Watch, logger, set)
	n.Watch.Start(n.Fleet)
	n.Pool = pool.New(pool.Settings{Self: s.Self.Name, Domain: s.Self.Domain, Budget: s.Budget}, n.Watch, b.Engines, set)
	n.keep = keep.New(keep.Settings{Costly: s.Costly, Linger: s.Linger}, n.Fleet, n.Pool, b.Engines, b.Peers, set)
	n.gate = gate.New(n.Pool, set)
	n.lend = lend.New(n.Fleet, n.Watch, b.Peers, set)
	n.steer = steer.New(s.Self.Name, platform, n.Fleet, n.Watch, b.Engines, logger, set)
	n.Issuer, err = once.NewIssuer(s.Self.Name, s.Self.Incarnation, s.Secret, n.Fleet, b.Peers)
	if err != nil {
		n.Close()
		return nil, fmt.Errorf("set up issued keys: %w", err)
	}
	n.once = once.New(s.Self.Name, platform, n.Pool, b.Services, n.Issuer, set)
	generations := relay.New(b.Engines, n.Pool, n.keep, sealer, set)
	server := serve.New(n.Fleet, generations, n.once, n.keep, b.Peers, sealer)
	n.handler = chain.Build(server.Handle,
		filter.NewRecord(set, logger),
		filter.NewIdentify(n.Watch),
		filter.Check{},
		filter.NewLimit(n.lend),
		filter.NewShare(n.gate),
	)
	return n, nil
}

// Close waits until outcomes of service calls are recorded and stops the controllers, each before those that it uses.
func (n *Node) Close() {
	if n.once != nil {
		n.once.Close()
	}
	n.steer.Close()
	n.lend.Close()
	n.gate.Close()
	n.keep.Stop()
	n.Pool.Close()
	n.Watch.Close()
	n.Fleet.Close()
	close(n.done)
}

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Handle passes a call through the filter chain to its handler.
func (n *Node) Handle(ctx context.Context, c chain.Call) chain.Answer {
	return n.handler(ctx, c)
}

// HandlePeer answers a peer's message.
func (n *Node) HandlePeer(ctx context.Context, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.Gossip:
		return n.Fleet.Handle(ctx, m)
	case wire.PullConfig:
		return n.Watch.Handle(m)
	case wire.SaveLogs:
		return n.keep.Handle(m)
	case wire.TakeOver:
		return n.keep.Adopt(m)
	case wire.BorrowSlots:
		return n.lend.Handle(m)
	case wire.RunKeyedCall:
		return n.runIssuedCall(ctx, m)
	default:
		return wire.Failure{Reason: "not a question"}
	}
}

// runIssuedCall runs a call that a peer forwarded because its key was issued here.
func (n *Node) runIssuedCall(ctx context.Context, request wire.RunKeyedCall) wire.Message {
	service, ok := n.Watch.Snapshot().Service(request.Service)
	if !ok {
		return wire.Failure{Reason: "unknown service " + strconv.Quote(request.Service)}
	}
	return n.Issuer.Handle(ctx, n.once, serve.Declared(service, request.Method, request.Path), request)
}
