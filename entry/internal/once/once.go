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
	callTimeout       = 3 * time.Second        // callTimeout bounds a whole call, retries and status call included.
	statusTimeout     = 500 * time.Millisecond // statusTimeout bounds a status call and is reserved for it in callTimeout.
	recordTimeout     = 10 * time.Second       // recordTimeout bounds writing an outcome after the caller is answered.
	claimPollInterval = 50 * time.Millisecond  // claimPollInterval is for a claim whose call another request is running.
	retryDelay        = 20 * time.Millisecond  // retryDelay is the delay before an idempotent call is sent again.
	keyStateLife      = 10 * time.Minute       // keyStateLife is how long after its last use a key is kept in memory.
)

// Targets selects the targets of plain services.
type Targets interface {
	// Services returns the targets of a service that accept new calls, the best first.
	Services(service string) []route.Candidate
}

// Order is one call of a plain service to run.
type Order struct {
	Organisation string
	Service      string
	Declared     conf.ServiceCall // Declared tells whether the call is idempotent and where its status is found.
	Call         engine.Call
}

// Once runs calls of plain services.
type Once struct {
	instance        string
	claims          claimStore
	targets         Targets
	caller          engine.Caller
	issuer          *Issuer
	retryBudget     *retryBudget
	recordings      sync.WaitGroup // recordings counts the outcomes that are being written to the platform.
	executedCalls   *metrics.Counter
	unknownOutcomes *metrics.Counter
	retries         *metrics.Counter

	mu        sync.Mutex
	keyStates map[string]*keyState // keyStates maps the names of claims to what is known of their keys.
	lastSweep time.Time
}

// keyState is what this instance remembers of a key that a caller chose.
type keyState struct {
	lock          chan struct{}  // lock is a mutex for requests with the key; a channel, so that waiting can time out.
	unsentWriteID string         // unsentWriteID is the id of a claim's last write, if its call was certainly not sent.
	result        *engine.Result // result is the service's answer, or nil while there is none.
	callHash      string
	usedAt        time.Time
}

// New returns a Once that sends calls through the caller and keeps its claims in the platform.
func New(instance string, platform store.Store, targets Targets, caller engine.Caller, issuer *Issuer, set *metrics.Set) *Once {
	return &Once{
		instance:        instance,
		claims:          claimStore{store: platform},
		targets:         targets,
		caller:          caller,
		issuer:          issuer,
		retryBudget:     newRetryBudget(),
		executedCalls:   set.GetOrCreateCounter("bramleywharf_service_calls_total"),
		unknownOutcomes: set.GetOrCreateCounter("bramleywharf_service_outcomes_unknown_total"),
		retries:         set.GetOrCreateCounter("bramleywharf_service_retries_total"),
		keyStates:       make(map[string]*keyState),
	}
}

// Close waits until every outcome is recorded in the platform or its recording has timed out.
func (o *Once) Close() {
	o.recordings.Wait()
}

// Run runs a call: an idempotent one with retries, a non-idempotent one at most once for its key.
func (o *Once) Run(ctx context.Context, order Order) chain.Answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !order.Declared.NonIdempotent {
		return o.runIdempotent(ctx, order)
	}
	if order.Call.Key == "" {
		return chain.Refuse(deny.New(deny.KindMalformed, "%s %s is not idempotent and needs an Idempotency-Key", order.Call.Method, order.Call.Path))
	}
	switch authority := o.authorityOf(order.Organisation, order.Call.Key).(type) {
	case Issued:
		return o.issuer.runIssued(ctx, o, order, authority)
	default:
		return o.runClaimed(ctx, order)
	}
}

// Authority is the sealed set of ways to decide which request may send the call of a key: Claimed and Issued.
type Authority interface {
	isAuthority()
}

// Claimed is the authority of keys that callers choose: the request whose claim the platform accepts sends the call.
type Claimed struct{}

// Issued is the authority of issued keys: the instance that issued a key remembers whether it has been used.
type Issued struct {
	Ticket Ticket
	Forged bool // Forged is set if the key has issuedKeyPrefix and cannot be decrypted.
}

func (Claimed) isAuthority() {}
func (Issued) isAuthority()  {}

// authorityOf returns the authority that decides a key.
func (o *Once) authorityOf(organisation, key string) Authority {
	if !strings.HasPrefix(key, issuedKeyPrefix) {
		return Claimed{}
	}
	ticket, err := o.issuer.openKey(organisation, key)
	return Issued{Ticket: ticket, Forged: err != nil}
}

// runClaimed runs a call whose key the caller chose.
func (o *Once) runClaimed(ctx context.Context, order Order) chain.Answer {
	name := claimName(order.Organisation, order.Service, order.Call.Key)
	state := o.stateOf(name)
	select {
	case state.lock <- struct{}{}:
		defer func() { <-state.lock }()
	case <-withStatusReserve(ctx).Done():
		return o.refuseOutcomeUnknown("the same key is being handled")
	}
	if state.result != nil {
		if state.callHash != hashCall(order.Call) {
			return refuseConflict()
		}
		return wholeAnswer(*state.result)
	}
	targets := o.targets.Services(order.Service)
	if len(targets) == 0 {
		return o.refuseNotSent(ctx, name, "", "no target of service "+order.Service+" takes calls")
	}
	record := claim{Instance: o.instance, BodyHash: hashCall(order.Call), At: time.Now()}.withTarget(targets[0].Address)
	stored, err := o.claims.write(ctx, store.Object{Kind: KindClaim, Name: name}, record)
	switch {
	case err == nil:
		return o.sendClaimed(ctx, order, state, record, stored, targets)
	case isClaimTaken(err):
		return o.followClaim(ctx, order, state, name, targets)
	default:
		state.unsentWriteID = stored.WriteID
		return o.refuseNotSent(ctx, name, stored.WriteID, "the platform could not record the key in time")
	}
}

// refuseNotSent refuses a call that this request did not send. The refusal says that the call was not executed only if
// the platform shows no claim of the key by another request, which may have sent it; otherwise the outcome is unknown.
func (o *Once) refuseNotSent(ctx context.Context, name, writeID, detail string) chain.Answer {
	_, stored, err := o.claims.read(ctx, name)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return refuseUnavailable("%s", detail)
	case err == nil && writeID != "" && stored.WriteID == writeID:
		return refuseUnavailable("%s", detail)
	default:
		return o.refuseOutcomeUnknown(detail + "; whether the key was used before is not known")
	}
}

// followClaim handles a key that is already claimed: it waits for the outcome of the request that holds the claim, or
// takes the claim over if its call was certainly not sent.
func (o *Once) followClaim(ctx context.Context, order Order, state *keyState, name string, targets []route.Candidate) chain.Answer {
	var record claim
	var stored store.Object
	var err error
	waitCtx := withStatusReserve(ctx)
	for {
		record, stored, err = o.claims.read(waitCtx, name)
		if err != nil {
			return o.refuseOutcomeUnknown("the key was used before, and the platform does not answer")
		}
		if record.BodyHash != hashCall(order.Call) {
			return refuseConflict()
		}
		if record.Phase == phaseDone {
			return wholeAnswer(record.result())
		}
		isOwnWrite := state.unsentWriteID != "" && stored.WriteID == state.unsentWriteID
		if record.Phase == phaseUnsent || isOwnWrite {
			return o.takeOverClaim(ctx, order, state, record, stored, targets)
		}
		if time.Since(record.At) > callTimeout || !wait.Sleep(waitCtx, claimPollInterval) {
			break
		}
	}
	return o.resolveOutcome(ctx, order, record, stored)
}

// takeOverClaim replaces a claim whose call was certainly not sent, and sends the call.
func (o *Once) takeOverClaim(ctx context.Context, order Order, state *keyState, record claim, stored store.Object, targets []route.Candidate) chain.Answer {
	record.Instance = o.instance
	record.At = time.Now()
	record = record.withTarget(targets[0].Address)
	updated, err := o.claims.write(ctx, stored, record)
	switch {
	case err == nil:
		return o.sendClaimed(ctx, order, state, record, updated, targets)
	case isClaimTaken(err):
		return o.followClaim(ctx, order, state, stored.Name, targets)
	default:
		state.unsentWriteID = updated.WriteID
		return refuseUnavailable("the platform could not record the key in time")
	}
}

// sendClaimed sends a claimed call to the first target that can be reached. The claim names each target before the call
// is sent there, so that other instances know which one to ask for the outcome.
func (o *Once) sendClaimed(ctx context.Context, order Order, state *keyState, record claim, stored store.Object, targets []route.Candidate) chain.Answer {
	state.unsentWriteID = ""
	for i, target := range targets {
		if i > 0 {
			record = record.withTarget(target.Address)
			updated, err := o.claims.write(ctx, stored, record)
			if err != nil {
				state.unsentWriteID = updated.WriteID
				return refuseUnavailable("the platform could not record the key's next target")
			}
			stored = updated
		}
		result, err := o.caller.Call(withStatusReserve(ctx), target.Address, order.Call)
		if err == nil {
			o.executedCalls.Inc()
			state.result, state.callHash = &result, record.BodyHash
			o.recordOutcome(stored, record.withResult(result))
			return wholeAnswer(result)
		}
		if !errors.Is(err, engine.ErrNotSent) {
			return o.resolveOutcome(ctx, order, record, stored)
		}
	}
	o.recordOutcome(stored, record.withPhase(phaseUnsent))
	state.unsentWriteID = stored.WriteID
	return refuseUnavailable("no target of service %s could be reached", order.Service)
}

// resolveOutcome looks up the outcome of a claimed call that may have been sent, and records it if it is known.
func (o *Once) resolveOutcome(ctx context.Context, order Order, record claim, stored store.Object) chain.Answer {
	answer := o.lookUpOutcome(ctx, order, record.Target)
	if whole, ok := answer.(chain.Whole); ok {
		o.recordOutcome(stored, record.withResult(engine.Result{Status: whole.Status, ContentType: whole.ContentType, Body: whole.Body}))
	}
	return answer
}

// lookUpOutcome asks the target of a call that may have been sent for its outcome, by the service's status call.
func (o *Once) lookUpOutcome(ctx context.Context, order Order, address string) chain.Answer {
	if order.Declared.StatusPath == "" {
		return o.refuseOutcomeUnknown("the call may have reached the service, which has no status call")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	path := strings.ReplaceAll(order.Declared.StatusPath, "{key}", url.PathEscape(order.Call.Key))
	result, err := o.caller.Call(ctx, address, engine.Call{Method: http.MethodGet, Path: path})
	if err != nil || result.Status != http.StatusOK {
		return o.refuseOutcomeUnknown("the call may have reached the service, whose status call does not show it")
	}
	return wholeAnswer(result)
}

// recordOutcome writes a claim in the background, with retries unless another request has written it.
func (o *Once) recordOutcome(stored store.Object, record claim) {
	o.recordings.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		for {
			_, err := o.claims.write(ctx, stored, record)
			if err == nil || isClaimTaken(err) || !wait.Sleep(ctx, time.Second) {
				return
			}
		}
	})
}

// stateOf returns the state of the key whose claim has a name, and removes expired states once a minute.
func (o *Once) stateOf(name string) *keyState {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastSweep) > time.Minute {
		o.lastSweep = now
		for old, state := range o.keyStates {
			if now.Sub(state.usedAt) > keyStateLife {
				delete(o.keyStates, old)
			}
		}
	}
	state, ok := o.keyStates[name]
	if !ok {
		state = &keyState{lock: make(chan struct{}, 1)}
		o.keyStates[name] = state
	}
	state.usedAt = now
	return state
}

// runIdempotent tries an idempotent call on one target after the other, within the retry budget and the deadline.
func (o *Once) runIdempotent(ctx context.Context, order Order) chain.Answer {
	targets := o.targets.Services(order.Service)
	var lastErr error
	for i, target := range targets {
		if i > 0 && (!o.retryBudget.tryWithdraw() || !wait.Sleep(ctx, retryDelay)) {
			break
		}
		if i > 0 {
			o.retries.Inc()
		}
		result, err := o.caller.Call(ctx, target.Address, order.Call)
		if err == nil {
			o.retryBudget.deposit()
			o.executedCalls.Inc()
			return wholeAnswer(result)
		}
		lastErr = err
	}
	if lastErr != nil && errors.Is(lastErr, engine.ErrUnknown) {
		return chain.Refuse(deny.New(deny.KindUnavailable, "service %s did not answer", order.Service).
			WithExecuted(deny.ExecutedUnknown).WithRetryAfter(time.Second))
	}
	return refuseUnavailable("no target of service %s could be reached", order.Service)
}

// refuseOutcomeUnknown refuses a call that may or may not have been executed.
func (o *Once) refuseOutcomeUnknown(detail string) chain.Answer {
	o.unknownOutcomes.Inc()
	return chain.Refuse(deny.New(deny.KindOutcome, "%s", detail).WithExecuted(deny.ExecutedUnknown).WithRetryAfter(time.Second))
}

// withStatusReserve returns a context that ends statusTimeout before ctx, which leaves time for a status call.
func withStatusReserve(ctx context.Context) context.Context {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx
	}
	shorter, cancel := context.WithDeadline(ctx, deadline.Add(-statusTimeout))
	context.AfterFunc(ctx, cancel)
	return shorter
}

// refuseConflict refuses a call whose key was used with a different call.
func refuseConflict() chain.Answer {
	return chain.Refuse(deny.New(deny.KindConflict, "the key was used with another call; this call was not run"))
}

// refuseUnavailable refuses a call that was not executed.
func refuseUnavailable(format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(deny.KindUnavailable, format, args...).WithRetryAfter(time.Second))
}

// wholeAnswer returns a service's result as an answer to the caller.
func wholeAnswer(result engine.Result) chain.Answer {
	return chain.Whole{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
}
