package serve

import (
	"context"
	"strings"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/token"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/once"
	"bramleywharf.example/entry/internal/pool"
	"bramleywharf.example/entry/internal/relay"
)

const (
	adoptBound    = 300 * time.Millisecond // adoptBound bounds the question to a former owner of a generation.
	originGrace   = 50 * time.Millisecond  // originGrace is how much longer than for the keeper the origin is waited for.
	addressCount  = 3                      // addressCount is the number of instances named in a look-up.
	addressLife   = 5 * time.Second        // addressLife is how long callers may keep a look-up.
	affinityWidth = 6                      // affinityWidth is the number of instances that serve one prompt prefix of an organisation.
)

// Fleet gives the members.
type Fleet interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members.
	View() member.View
}

// Keeper gives up generations that run or are held here.
type Keeper interface {
	// Adopt lets an instance go on with a generation.
	Adopt(a wire.Adopt) wire.Message
}

// Server runs calls that passed all filters.
type Server struct {
	fleet  Fleet
	relay  *relay.Relay
	once   *once.Once
	keeper Keeper
	net    peer.Net
	sealer *token.Sealer
}

// New returns the last handler's parts put together.
func New(fleet Fleet, r *relay.Relay, o *once.Once, keeper Keeper, net peer.Net, sealer *token.Sealer) *Server {
	return &Server{fleet: fleet, relay: r, once: o, keeper: keeper, net: net, sealer: sealer}
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

// adopt asks the origin and the keeper of a generation for what they hold of it; the origin knows more, and is not waited for long once the keeper has answered.
func (s *Server) adopt(ctx context.Context, c token.Cursor) wire.Log {
	ctx, cancel := context.WithTimeout(ctx, adoptBound)
	defer cancel()
	question := wire.Adopt{Request: c.Request, By: s.fleet.Self().Name}
	origin, keeper := make(chan wire.Adopted, 1), make(chan wire.Adopted, 1)
	go func() { origin <- s.ask(ctx, c.Origin, question) }()
	go func() { keeper <- s.ask(ctx, c.Keeper, question) }()
	var kept wire.Adopted
	select {
	case a := <-origin:
		if holds(a) {
			return a.Log
		}
		kept = <-keeper
	case kept = <-keeper:
		if a, ok := within(ctx, origin, originGrace); ok && holds(a) {
			return a.Log
		}
	}
	if holds(kept) {
		return kept.Log
	}
	return wire.Log{}
}

// ask asks one member to give a generation up.
func (s *Server) ask(ctx context.Context, name string, question wire.Adopt) wire.Adopted {
	var answer wire.Message
	if name == "" {
		return wire.Adopted{}
	}
	if name == s.fleet.Self().Name {
		answer = s.keeper.Adopt(question)
	} else if m, ok := s.fleet.View().Get(name); ok && m.State != member.Dead {
		answer, _ = s.net.Ask(ctx, m.PeerAddress, question)
	}
	adopted, _ := answer.(wire.Adopted)
	return adopted
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
	cursor := token.Cursor{
		Request: c.ID,
		Model:   r.Model,
		Adapter: r.Adapter,
		Version: r.Version,
		Seed:    r.Seed,
		Max:     r.MaxTokens,
		Origin:  s.fleet.Self().Name,
	}
	return s.relay.Run(ctx, relay.Job{Spec: spec, Policy: policy(c.Limit), Cursor: cursor, Held: c.Entered, Prompt: true}, c.Sink)
}

// invoke runs a call of a plain service.
func (s *Server) invoke(ctx context.Context, c chain.Call, r chain.Invoke) chain.Answer {
	service, _ := c.Config.Service(r.Service)
	declared := Declared(service, r.Method, r.Path)
	declared.NonIdempotent = declared.NonIdempotent || r.NonIdempotent
	return s.once.Run(ctx, once.Order{
		Organisation: c.Organisation,
		Service:      r.Service,
		Declared:     declared,
		Call:         engine.Call{Method: r.Method, Path: r.Path, Key: r.Key, ContentType: r.ContentType, Body: r.Body},
	})
}

// Declared returns the declaration of a call; one that is not declared may be repeated only if its method may.
func Declared(service conf.Service, method, path string) conf.ServiceCall {
	path, _, _ = strings.Cut(path, "?")
	declared, ok := service.Call(method, path)
	if ok {
		return declared
	}
	safe := method == "GET" || method == "HEAD"
	return conf.ServiceCall{Method: method, Path: path, NonIdempotent: !safe}
}

// lookup names the instances to use: the same few for an organisation's prompt prefix, spread over failure domains.
func (s *Server) lookup(r chain.Lookup, c chain.Call) chain.Answer {
	view := s.fleet.View()
	key := c.Organisation + "/" + r.Model
	near := route.Spread(key, r.Domain, view.Open(), affinityWidth)
	if prefix := pool.Prefix(r.Prompt); prefix != "" {
		near = route.Rank(prefix, near)
	}
	answer := chain.Addresses{Organisation: c.Organisation, Life: addressLife}
	for _, name := range near[:min(addressCount, len(near))] {
		m, _ := view.Get(name)
		answer.List = append(answer.List, chain.Address{Instance: m.Name, Domain: m.Domain, Address: m.CallerAddress})
	}
	return answer
}

// resume goes on with a generation after an event id.
func (s *Server) resume(ctx context.Context, c chain.Call, r chain.Resume) chain.Answer {
	cursor, err := s.sealer.Open(c.Organisation, r.LastEventID)
	if err != nil {
		return chain.Refuse(deny.New(deny.KindMalformed, "%v", err))
	}
	log := s.adopt(ctx, cursor)
	if log.Prompt == "" {
		log.Prompt = r.Prompt
	}
	spec := flow.Spec{
		ID:           cursor.Request,
		Organisation: c.Organisation,
		Model:        cursor.Model,
		Adapter:      cursor.Adapter,
		Version:      cursor.Version,
		Prompt:       log.Prompt,
		Seed:         cursor.Seed,
		MaxTokens:    cursor.Max,
		Priority:     c.Limit.Priority,
	}
	cursor.Origin = s.fleet.Self().Name
	cursor.Keeper = ""
	known := max(0, min(len(log.Tokens), cursor.Offset-log.Offset))
	job := relay.Job{
		Spec:   spec,
		Policy: policy(c.Limit),
		Cursor: cursor,
		Base:   log.Offset,
		Texts:  log.Tokens[:known:known],
		Prompt: spec.Prompt != "",
	}
	if known == 0 {
		job.Base, job.Texts = 0, nil
	}
	return s.relay.Run(ctx, job, c.Sink)
}

// holds tells whether an answer brings anything of the generation.
func holds(a wire.Adopted) bool {
	return a.Found && (a.Log.Prompt != "" || len(a.Log.Tokens) > 0)
}

// within waits a little for an answer.
func within(ctx context.Context, answers <-chan wire.Adopted, d time.Duration) (wire.Adopted, bool) {
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
	case <-time.After(d):
	}
	return wire.Adopted{}, false
}

// policy returns the recovery policy of a limit.
func policy(l conf.Limit) flow.Policy {
	p, ok := flow.ParsePolicy(l.Recovery)
	if !ok {
		return flow.Latency{}
	}
	return p
}
