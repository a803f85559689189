package serve

import (
	"context"
	"strings"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/once"
	"bramleywharf.example/entry/internal/pool"
	"bramleywharf.example/entry/internal/relay"
)

const (
	adoptTimeout = 300 * time.Millisecond // adoptTimeout bounds asking a generation's origin and keeper to hand it over.
	originGrace  = 50 * time.Millisecond  // originGrace is how long to wait for the origin once the keeper has answered.
	lookupSize   = 3                      // lookupSize is the number of instances in the answer to a look-up.
	lookupLife   = 5 * time.Second        // lookupLife is how long callers may cache that answer.
	affinitySize = 6                      // affinitySize is the number of instances per organisation and model.
)

// Fleet gives access to the members.
type Fleet interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members as this instance knows them.
	View() member.View
}

// Keeper hands over generations that run here or of which a replica is held here.
type Keeper interface {
	// Adopt hands a generation over to an instance that continues it.
	Adopt(a wire.TakeOver) wire.Message
}

// Server runs calls that passed all filters.
type Server struct {
	fleet  Fleet
	relay  *relay.Relay
	once   *once.Once
	keeper Keeper
	peers  peer.Client
	sealer *cursor.Sealer
}

// New returns a server that runs generations and service calls with the given parts.
func New(fleet Fleet, generations *relay.Relay, calls *once.Once, keeper Keeper, peers peer.Client, sealer *cursor.Sealer) *Server {
	return &Server{fleet: fleet, relay: generations, once: calls, keeper: keeper, peers: peers, sealer: sealer}
}

// Handle runs a call.
func (s *Server) Handle(ctx context.Context, c chain.Call) chain.Answer {
	switch r := c.Request.(type) {
	case chain.Generate:
		return s.generate(ctx, c, r)
	case chain.Resume:
		return s.resume(ctx, c, r)
	case chain.Invoke:
		return s.invoke(ctx, c, r)
	case chain.Lookup:
		return s.lookup(r, c)
	default:
		return chain.Refuse(deny.New(deny.KindMalformed, "request of an unknown kind"))
	}
}

// adoptLog takes a generation over from its origin and its keeper and returns its log. The origin has the more complete
// one, but is waited for only originGrace longer than the keeper.
func (s *Server) adoptLog(ctx context.Context, position cursor.Cursor) wire.GenerationLog {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	request := wire.TakeOver{Request: position.RequestID, By: s.fleet.Self().Name}
	fromOrigin, fromKeeper := make(chan wire.TakeOverReply, 1), make(chan wire.TakeOverReply, 1)
	go func() { fromOrigin <- s.askToAdopt(ctx, position.Origin, request) }()
	go func() { fromKeeper <- s.askToAdopt(ctx, position.Backup, request) }()
	var keeperAnswer wire.TakeOverReply
	select {
	case a := <-fromOrigin:
		if hasContent(a) {
			return a.Log
		}
		keeperAnswer = <-fromKeeper
	case keeperAnswer = <-fromKeeper:
		if a, ok := receiveWithin(ctx, fromOrigin, originGrace); ok && hasContent(a) {
			return a.Log
		}
	}
	if hasContent(keeperAnswer) {
		return keeperAnswer.Log
	}
	return wire.GenerationLog{}
}

// askToAdopt asks one member, maybe this one, to hand a generation over.
func (s *Server) askToAdopt(ctx context.Context, name string, request wire.TakeOver) wire.TakeOverReply {
	var answer wire.Message
	if name == "" {
		return wire.TakeOverReply{}
	}
	if name == s.fleet.Self().Name {
		answer = s.keeper.Adopt(request)
	} else if m, ok := s.fleet.View().Get(name); ok && m.State != member.Dead {
		answer, _ = s.peers.Call(ctx, m.PeerAddress, request)
	}
	reply, _ := answer.(wire.TakeOverReply)
	return reply
}

// generate runs a new generation.
func (s *Server) generate(ctx context.Context, c chain.Call, r chain.Generate) chain.Answer {
	spec := flow.Spec{
		ID:           c.ID,
		Organisation: c.Organisation,
		Model:        r.Model,
		Adapter:      r.Adapter,
		Version:      r.Version,
		Prompt:       r.Prompt,
		Seed:         r.Seed,
		MaxTokens:    r.MaxTokens,
		Priority:     c.Limit.Priority,
	}
	position := cursor.Cursor{
		RequestID: c.ID,
		Model:     r.Model,
		Adapter:   r.Adapter,
		Version:   r.Version,
		Seed:      r.Seed,
		MaxTokens: r.MaxTokens,
		Origin:    s.fleet.Self().Name,
	}
	return s.relay.Run(ctx, relay.Job{Spec: spec, Policy: recoveryPolicy(c.Limit), Cursor: position, Held: c.Entered, Prompt: true}, c.Sink)
}

// invoke runs a call of a plain service; the caller may declare it non-idempotent even if the service does not.
func (s *Server) invoke(ctx context.Context, c chain.Call, r chain.Invoke) chain.Answer {
	service, _ := c.Config.Service(r.Service)
	declaration := Declared(service, r.Method, r.Path)
	declaration.NonIdempotent = declaration.NonIdempotent || r.NonIdempotent
	return s.once.Run(ctx, once.Order{
		Organisation: c.Organisation,
		Service:      r.Service,
		Declared:     declaration,
		Call:         engine.Call{Method: r.Method, Path: r.Path, Key: r.Key, ContentType: r.ContentType, Body: r.Body},
	})
}

// Declared returns a service's declaration of a call; a call that is not declared is idempotent if it is a GET or HEAD.
func Declared(service conf.Service, method, path string) conf.ServiceCall {
	path, _, _ = strings.Cut(path, "?")
	declaration, ok := service.Call(method, path)
	if ok {
		return declaration
	}
	isSafe := method == "GET" || method == "HEAD"
	return conf.ServiceCall{Method: method, Path: path, NonIdempotent: !isSafe}
}

// lookup returns the instances to use: the same few for an organisation, model and prompt prefix, so that caches are
// reused, spread over failure domains.
func (s *Server) lookup(r chain.Lookup, c chain.Call) chain.Answer {
	view := s.fleet.View()
	key := c.Organisation + "/" + r.Model
	names := route.Spread(key, r.Domain, view.Available(), affinitySize)
	if prefix := pool.Prefix(r.Prompt); prefix != "" {
		names = route.Rank(prefix, names)
	}
	answer := chain.Addresses{Organisation: c.Organisation, Life: lookupLife}
	for _, name := range names[:min(lookupSize, len(names))] {
		m, _ := view.Get(name)
		answer.List = append(answer.List, chain.Address{Instance: m.Name, Domain: m.Domain, Address: m.CallerAddress})
	}
	return answer
}

// resume continues a generation after the event that the caller received last.
func (s *Server) resume(ctx context.Context, c chain.Call, r chain.Resume) chain.Answer {
	position, err := s.sealer.Open(c.Organisation, r.LastEventID)
	if err != nil {
		return chain.Refuse(deny.New(deny.KindMalformed, "%v", err))
	}
	log := s.adoptLog(ctx, position)
	if log.Prompt == "" {
		log.Prompt = r.Prompt
	}
	spec := flow.Spec{
		ID:           position.RequestID,
		Organisation: c.Organisation,
		Model:        position.Model,
		Adapter:      position.Adapter,
		Version:      position.Version,
		Prompt:       log.Prompt,
		Seed:         position.Seed,
		MaxTokens:    position.MaxTokens,
		Priority:     c.Limit.Priority,
	}
	position.Origin = s.fleet.Self().Name
	position.Backup = ""
	knownTokens := max(0, min(len(log.Tokens), position.Offset-log.Offset))
	job := relay.Job{
		Spec:   spec,
		Policy: recoveryPolicy(c.Limit),
		Cursor: position,
		Base:   log.Offset,
		Texts:  log.Tokens[:knownTokens:knownTokens],
		Prompt: spec.Prompt != "",
	}
	if knownTokens == 0 {
		job.Base, job.Texts = 0, nil
	}
	return s.relay.Run(ctx, job, c.Sink)
}

// hasContent tells whether an answer holds the prompt or any tokens.
func hasContent(a wire.TakeOverReply) bool {
	return a.Found && (a.Log.Prompt != "" || len(a.Log.Tokens) > 0)
}

// receiveWithin receives an answer unless the timeout or the context ends first.
func receiveWithin(ctx context.Context, answers <-chan wire.TakeOverReply, timeout time.Duration) (wire.TakeOverReply, bool) {
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return wire.TakeOverReply{}, false
}

// recoveryPolicy returns the recovery policy of a limit; the default is flow.Latency.
func recoveryPolicy(l conf.Limit) flow.Policy {
	p, ok := flow.ParsePolicy(l.Recovery)
	if !ok {
		return flow.Latency{}
	}
	return p
}
