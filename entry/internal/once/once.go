package once

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

const (
	callBound   = 3 * time.Second        // callBound is the longest that a caller of a plain service waits.
	settleBound = 500 * time.Millisecond // settleBound is kept back from callBound to settle and record an outcome.
	recordBound = 10 * time.Second       // recordBound bounds the attempts to record an outcome after the caller has its answer.
	lookPause   = 50 * time.Millisecond  // lookPause is the time between two looks at a claim that another runs.
	retryPause  = 20 * time.Millisecond  // retryPause is the wait before an idempotent call is sent again.
	keptFor     = 10 * time.Minute       // keptFor is how long this instance remembers its keys without asking the platform.
)

// Targets gives the targets of plain services.
type Targets interface {
	// Services returns the targets of a service that take new work, the best first.
	Services(service string) []route.Candidate
}

// Order is one call to run.
type Order struct {
	Organisation string
	Service      string
	Declared     conf.ServiceCall
	Call         engine.Call
}

// Once runs calls of plain services.
type Once struct {
	self     string
	claims   registry
	targets  Targets
	caller   engine.Caller
	issuer   *Issuer
	budget   *budget
	group    sync.WaitGroup
	executed *metrics.Counter
	unknown  *metrics.Counter
	retried  *metrics.Counter

	mu    sync.Mutex
	local map[string]*local
	swept time.Time
}

// local is what this instance remembers of a key it handles.
type local struct {
	busy    chan struct{} // busy holds one place for the request that handles the key.
	writeID string        // writeID is the id of a claim that may have been written and whose call was not sent.
	result  *engine.Result
	hash    string
	at      time.Time
}

// New returns a runner of calls.
func New(self string, platform store.Store, targets Targets, caller engine.Caller, issuer *Issuer, set *metrics.Set) *Once {
	return &Once{
		self:     self,
		claims:   registry{store: platform},
		targets:  targets,
		caller:   caller,
		issuer:   issuer,
		budget:   newBudget(),
		executed: set.GetOrCreateCounter("bramleywharf_service_calls_total"),
		unknown:  set.GetOrCreateCounter("bramleywharf_service_outcomes_unknown_total"),
		retried:  set.GetOrCreateCounter("bramleywharf_service_retries_total"),
		local:    make(map[string]*local),
	}
}

// Close waits until all outcomes are recorded or given up.
func (o *Once) Close() {
	o.group.Wait()
}

// Run runs a call; a non-idempotent one at most once for its key.
func (o *Once) Run(ctx context.Context, order Order) chain.Answer {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	if !order.Declared.NonIdempotent {
		return o.repeat(ctx, order)
	}
	if order.Call.Key == "" {
		return chain.Refuse(deny.New(deny.KindMalformed, "%s %s is not idempotent and needs an Idempotency-Key", order.Call.Method, order.Call.Path))
	}
	switch a := o.authority(order.Organisation, order.Call.Key).(type) {
	case Issued:
		return o.issuer.run(ctx, o, order, a)
	default:
		return o.claim(ctx, order)
	}
}

// Authority is the sealed set of ways to decide who runs a key: Claimed and Issued.
type Authority interface {
	isAuthority()
}

// Claimed keys are decided by the platform.
type Claimed struct{}

// Issued keys are decided by the memory of the instance that issued them.
type Issued struct {
	Ticket Ticket
	Forged bool // Forged marks a key that looks issued and was not.
}

func (Claimed) isAuthority() {}
func (Issued) isAuthority()  {}

// authority returns who decides a key.
func (o *Once) authority(organisation, key string) Authority {
	if !strings.HasPrefix(key, issuedPrefix) {
		return Claimed{}
	}
	ticket, err := o.issuer.open(organisation, key)
	return Issued{Ticket: ticket, Forged: err != nil}
}

// claim runs a call whose key the platform decides.
func (o *Once) claim(ctx context.Context, order Order) chain.Answer {
	name := claimName(order.Organisation, order.Service, order.Call.Key)
	l := o.remember(name)
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-before(ctx).Done():
		return o.outcomeUnknown("the same key is being handled")
	}
	if l.result != nil {
		if l.hash != bodyHash(order.Call) {
			return conflict()
		}
		return whole(*l.result)
	}
	targets := o.targets.Services(order.Service)
	if len(targets) == 0 {
		return o.unused(ctx, name, "", "no target of service "+order.Service+" takes calls")
	}
	c := claim{Instance: o.self, BodyHash: bodyHash(order.Call), At: time.Now()}.withTarget(targets[0].Address)
	held, err := o.claims.write(ctx, store.Object{Kind: KindClaim, Name: name}, c)
	switch {
	case err == nil:
		return o.send(ctx, order, l, c, held, targets)
	case isTaken(err):
		return o.follow(ctx, order, l, name, targets)
	default:
		l.writeID = held.WriteID
		return o.unused(ctx, name, held.WriteID, "the platform could not record the key in time")
	}
}

// unused refuses a call that was not sent now, and says that it was not run only if no other claim shows an earlier sending of its key.
func (o *Once) unused(ctx context.Context, name, writeID, detail string) chain.Answer {
	_, held, err := o.claims.read(ctx, name)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return unavailable("%s", detail)
	case err == nil && writeID != "" && held.WriteID == writeID:
		return unavailable("%s", detail)
	default:
		return o.outcomeUnknown(detail + "; whether the key was used before is not known")
	}
}

// follow handles a key that is claimed already.
func (o *Once) follow(ctx context.Context, order Order, l *local, name string, targets []route.Candidate) chain.Answer {
	var c claim
	var held store.Object
	var err error
	waiting := before(ctx)
	for {
		c, held, err = o.claims.read(waiting, name)
		if err != nil {
			return o.outcomeUnknown("the key was used before, and the platform does not answer")
		}
		if c.BodyHash != bodyHash(order.Call) {
			return conflict()
		}
		if c.Phase == phaseDone {
			return whole(c.result())
		}
		mine := l.writeID != "" && held.WriteID == l.writeID
		if c.Phase == phaseUnsent || mine {
			return o.takeOver(ctx, order, l, c, held, targets)
		}
		if time.Since(c.At) > callBound || !wait.For(waiting, lookPause) {
			break
		}
	}
	return o.settle(ctx, order, c, held)
}

// takeOver claims a key again that surely was not sent.
func (o *Once) takeOver(ctx context.Context, order Order, l *local, c claim, held store.Object, targets []route.Candidate) chain.Answer {
	c.Instance = o.self
	c.At = time.Now()
	c = c.withTarget(targets[0].Address)
	next, err := o.claims.write(ctx, held, c)
	switch {
	case err == nil:
		return o.send(ctx, order, l, c, next, targets)
	case isTaken(err):
		return o.follow(ctx, order, l, held.Name, targets)
	default:
		l.writeID = next.WriteID
		return unavailable("the platform could not record the key in time")
	}
}

// send sends a claimed call once, to the first target that can be reached.
func (o *Once) send(ctx context.Context, order Order, l *local, c claim, held store.Object, targets []route.Candidate) chain.Answer {
	l.writeID = ""
	for i, t := range targets {
		if i > 0 {
			c = c.withTarget(t.Address)
			next, err := o.claims.write(ctx, held, c)
			if err != nil {
				l.writeID = next.WriteID
				return unavailable("the platform could not record the key's next target")
			}
			held = next
		}
		result, err := o.caller.Call(before(ctx), t.Address, order.Call)
		if err == nil {
			o.executed.Inc()
			l.result, l.hash = &result, c.BodyHash
			o.record(held, c.withResult(result))
			return whole(result)
		}
		if !errors.Is(err, engine.ErrNotSent) {
			return o.settle(ctx, order, c, held)
		}
	}
	o.record(held, c.withPhase(phaseUnsent))
	l.writeID = held.WriteID
	return unavailable("no target of service %s could be reached", order.Service)
}

// settle finds out what became of a claimed call that may have been sent, and records it.
func (o *Once) settle(ctx context.Context, order Order, c claim, held store.Object) chain.Answer {
	answer := o.status(ctx, order, c.Target)
	if w, ok := answer.(chain.Whole); ok {
		o.record(held, c.withResult(engine.Result{Status: w.Status, ContentType: w.ContentType, Body: w.Body}))
	}
	return answer
}

// status asks the target of a call that may have been sent what became of it.
func (o *Once) status(ctx context.Context, order Order, address string) chain.Answer {
	if order.Declared.StatusPath == "" {
		return o.outcomeUnknown("the call may have reached the service, which has no status call")
	}
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	path := strings.ReplaceAll(order.Declared.StatusPath, "{key}", url.PathEscape(order.Call.Key))
	result, err := o.caller.Call(ctx, address, engine.Call{Method: http.MethodGet, Path: path})
	if err != nil || result.Status != http.StatusOK {
		return o.outcomeUnknown("the call may have reached the service, whose status call does not show it")
	}
	return whole(result)
}

// record writes the outcome of a claim behind the caller's back, until it is there or given up.
func (o *Once) record(held store.Object, c claim) {
	o.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordBound)
		defer cancel()
		for {
			_, err := o.claims.write(ctx, held, c)
			if err == nil || isTaken(err) || !wait.For(ctx, time.Second) {
				return
			}
		}
	})
}

// remember returns what this instance knows of a key, and forgets old ones.
func (o *Once) remember(name string) *local {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.swept) > time.Minute {
		o.swept = now
		for n, l := range o.local {
			if now.Sub(l.at) > keptFor {
				delete(o.local, n)
			}
		}
	}
	l, ok := o.local[name]
	if !ok {
		l = &local{busy: make(chan struct{}, 1)}
		o.local[name] = l
	}
	l.at = now
	return l
}

// repeat runs an idempotent call, on another target after a failure, within the budget and the deadline.
func (o *Once) repeat(ctx context.Context, order Order) chain.Answer {
	targets := o.targets.Services(order.Service)
	var last error
	for i, t := range targets {
		if i > 0 && (!o.budget.spend() || !wait.For(ctx, retryPause)) {
			break
		}
		if i > 0 {
			o.retried.Inc()
		}
		result, err := o.caller.Call(ctx, t.Address, order.Call)
		if err == nil {
			o.budget.earn()
			o.executed.Inc()
			return whole(result)
		}
		last = err
	}
	if last != nil && errors.Is(last, engine.ErrUnknown) {
		return chain.Refuse(deny.New(deny.KindUnavailable, "service %s did not answer", order.Service).
			WithExecuted(deny.ExecutedUnknown).WithRetryAfter(time.Second))
	}
	return unavailable("no target of service %s could be reached", order.Service)
}

// outcomeUnknown refuses a call of which nobody can say whether it ran.
func (o *Once) outcomeUnknown(detail string) chain.Answer {
	o.unknown.Inc()
	return chain.Refuse(deny.New(deny.KindOutcome, "%s", detail).WithExecuted(deny.ExecutedUnknown).WithRetryAfter(time.Second))
}

// before returns a context that leaves time to settle before the call's own deadline.
func before(ctx context.Context) context.Context {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx
	}
	early, cancel := context.WithDeadline(ctx, deadline.Add(-settleBound))
	context.AfterFunc(ctx, cancel)
	return early
}

// conflict refuses a key that was used with another body.
func conflict() chain.Answer {
	return chain.Refuse(deny.New(deny.KindConflict, "the key was used with another call; this call was not run"))
}

// unavailable refuses a call that was not run.
func unavailable(format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(deny.KindUnavailable, format, args...).WithRetryAfter(time.Second))
}

// whole returns a service's answer.
func whole(r engine.Result) chain.Answer {
	return chain.Whole{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}
