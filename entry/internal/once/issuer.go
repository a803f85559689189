package once

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// issuedKeyPrefix distinguishes issued keys from keys that callers choose.
const issuedKeyPrefix = "bw1."

// issuedKeyLife is how long after its issue a key may be used first.
const issuedKeyLife = 10 * time.Minute

// errForgedKey is returned for a key that this fleet did not issue to the organisation.
var errForgedKey = errors.New("key was not issued by this fleet")

// Ticket is what an issued key contains, encrypted.
type Ticket struct {
	Instance string        `cbor:"1,keyasint"` // Instance is the name of the issuing instance.
	Epoch    uint64        `cbor:"2,keyasint"` // Epoch is the incarnation with which the issuing process started.
	Serial   uint64        `cbor:"3,keyasint"`
	Issued   time.Duration `cbor:"4,keyasint"` // Issued is when the key was issued, counted from the epoch's start.
}

// Members gives access to the members of the fleet.
type Members interface {
	// View returns the members as this instance knows them.
	View() member.View
}

// Issuer issues keys and remembers which of them were used; that is lost in a restart, so older keys are refused.
type Issuer struct {
	instance   string
	epoch      uint64
	startedAt  time.Time
	aead       cipher.AEAD
	members    Members
	peers      peer.Client
	lastSerial atomic.Uint64

	mu        sync.Mutex
	spentKeys map[uint64]*spentKey
}

// spentKey is the state of an issued key that has been used.
type spentKey struct {
	callHash string
	spentAt  time.Time
	done     chan struct{} // done closes when answer is set.
	answer   chain.Answer
}

// NewIssuer returns the issuer of a named instance, whose epoch changes with each start.
func NewIssuer(instance string, epoch uint64, secret []byte, members Members, peers peer.Client) (*Issuer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "bramleywharf issued key", 32)
	if err != nil {
		return nil, fmt.Errorf("derive key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("create cipher: %w", err)
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, fmt.Errorf("create GCM: %w", err)
	}
	return &Issuer{instance: instance, epoch: epoch, startedAt: time.Now(), aead: aead, members: members, peers: peers, spentKeys: make(map[uint64]*spentKey)}, nil
}

// Handle runs a call that a peer forwarded because its key was issued here.
func (i *Issuer) Handle(ctx context.Context, o *Once, declared conf.ServiceCall, request wire.RunKeyedCall) wire.Message {
	ticket, err := i.openKey(request.Organisation, request.Key)
	if err != nil || ticket.Instance != i.instance {
		return wire.Failure{Reason: "key was not issued here"}
	}
	ctx, cancel := context.WithTimeout(ctx, min(request.Timeout, callTimeout))
	defer cancel()
	order := Order{
		Organisation: request.Organisation,
		Service:      request.Service,
		Declared:     declared,
		Call:         engine.Call{Method: request.Method, Path: request.Path, Key: request.Key, ContentType: request.ContentType, Body: request.Body},
	}
	return messageToPeer(i.spendKey(ctx, o, order, ticket))
}

// Issue returns a new key for an organisation.
func (i *Issuer) Issue(organisation string) (string, error) {
	encoded, err := cbor.Marshal(Ticket{
		Instance: i.instance,
		Epoch:    i.epoch,
		Serial:   i.lastSerial.Add(1),
		Issued:   time.Since(i.startedAt),
	})
	if err != nil {
		return "", fmt.Errorf("encode issued key: %w", err)
	}
	return issuedKeyPrefix + base64.RawURLEncoding.EncodeToString(i.aead.Seal(nil, nil, encoded, []byte(organisation))), nil
}

// forwardToIssuer has the call run by the instance that issued its key.
func (i *Issuer) forwardToIssuer(ctx context.Context, order Order, ticket Ticket) chain.Answer {
	issuer, ok := i.members.View().Get(ticket.Instance)
	if !ok || issuer.State == member.Dead {
		return refuseIssuerUnreachable()
	}
	deadline, _ := ctx.Deadline()
	answer, err := i.peers.Call(ctx, issuer.PeerAddress, wire.RunKeyedCall{
		Key:          order.Call.Key,
		Organisation: order.Organisation,
		Service:      order.Service,
		Method:       order.Call.Method,
		Path:         order.Call.Path,
		ContentType:  order.Call.ContentType,
		Body:         order.Call.Body,
		Timeout:      time.Until(deadline) - claimPollInterval,
	})
	if err != nil {
		return refuseIssuerUnreachable()
	}
	outcome, ok := answer.(wire.CallOutcome)
	if !ok {
		return refuseIssuerUnreachable()
	}
	return answerFromPeer(outcome)
}

// openKey decrypts the ticket of a key that was issued to an organisation.
func (i *Issuer) openKey(organisation, key string) (Ticket, error) {
	var ticket Ticket
	sealed, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(key, issuedKeyPrefix))
	if err != nil {
		return ticket, errForgedKey
	}
	encoded, err := i.aead.Open(nil, nil, sealed, []byte(organisation))
	if err != nil {
		return ticket, errForgedKey
	}
	if err := cbor.Unmarshal(encoded, &ticket); err != nil {
		return ticket, fmt.Errorf("decode issued key: %w", err)
	}
	return ticket, nil
}

// runIssued runs a call with an issued key, here or at the instance that issued the key.
func (i *Issuer) runIssued(ctx context.Context, o *Once, order Order, issued Issued) chain.Answer {
	switch {
	case issued.Forged:
		return chain.Refuse(deny.New(deny.KindMalformed, "%v; keys that begin with %s are issued by GET /v1/keys", errForgedKey, issuedKeyPrefix))
	case issued.Ticket.Instance == i.instance:
		return i.spendKey(ctx, o, order, issued.Ticket)
	default:
		return i.forwardToIssuer(ctx, order, issued.Ticket)
	}
}

// spendKey runs a call whose key this instance issued, unless the key has been used: then it returns the first answer.
func (i *Issuer) spendKey(ctx context.Context, o *Once, order Order, ticket Ticket) chain.Answer {
	if ticket.Epoch != i.epoch {
		return refuseIssuerUnreachable()
	}
	i.mu.Lock()
	i.sweepSpentKeys()
	key, isSpent := i.spentKeys[ticket.Serial]
	if !isSpent && time.Since(i.startedAt)-ticket.Issued > issuedKeyLife {
		i.mu.Unlock()
		return chain.Refuse(deny.New(deny.KindOutcome, "the issued key is older than %s", issuedKeyLife).WithExecuted(deny.ExecutedUnknown))
	}
	if !isSpent {
		key = &spentKey{callHash: hashCall(order.Call), spentAt: time.Now(), done: make(chan struct{})}
		i.spentKeys[ticket.Serial] = key
	}
	i.mu.Unlock()
	if !isSpent {
		return i.runFirstUse(ctx, o, order, ticket, key)
	}
	if key.callHash != hashCall(order.Call) {
		return refuseConflict()
	}
	select {
	case <-key.done:
		return key.answer
	case <-withStatusReserve(ctx).Done():
		return o.refuseOutcomeUnknown("the same key is being handled")
	}
}

// runFirstUse sends the call of an unused key. If the call was certainly not sent, the key becomes unused again.
func (i *Issuer) runFirstUse(ctx context.Context, o *Once, order Order, ticket Ticket, key *spentKey) chain.Answer {
	answer, mayBeSent := o.sendOnce(ctx, order)
	key.answer = answer
	close(key.done)
	if !mayBeSent {
		i.mu.Lock()
		delete(i.spentKeys, ticket.Serial)
		i.mu.Unlock()
	}
	return answer
}

// sweepSpentKeys forgets used keys once they are older than issuedKeyLife and would be refused in any case.
func (i *Issuer) sweepSpentKeys() {
	now := time.Now()
	for serial, key := range i.spentKeys {
		if now.Sub(key.spentAt) > 2*issuedKeyLife {
			delete(i.spentKeys, serial)
		}
	}
}

// sendOnce sends a call to the first target that can be reached and reports whether the call may have been sent.
func (o *Once) sendOnce(ctx context.Context, order Order) (chain.Answer, bool) {
	for _, target := range o.targets.Services(order.Service) {
		result, err := o.caller.Call(withStatusReserve(ctx), target.Address, order.Call)
		switch {
		case err == nil:
			o.executedCalls.Inc()
			return wholeAnswer(result), true
		case errors.Is(err, engine.ErrNotSent):
			continue
		}
		return o.lookUpOutcome(ctx, order, target.Address), true
	}
	return refuseUnavailable("no target of service %s could be reached", order.Service), false
}

// refuseIssuerUnreachable refuses a call because the instance that issued its key is unreachable or has restarted.
func refuseIssuerUnreachable() chain.Answer {
	return chain.Refuse(deny.New(deny.KindOutcome, "the instance that issued the key cannot be asked whether it was spent").
		WithExecuted(deny.ExecutedUnknown))
}

// answerFromPeer decodes the answer of the instance that ran a forwarded call.
func answerFromPeer(outcome wire.CallOutcome) chain.Answer {
	if outcome.Refusal == "" {
		return chain.Whole{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}
	}
	return chain.Refuse(deny.Refusal{
		Kind:       deny.Kind(outcome.Refusal),
		Detail:     outcome.Detail,
		Executed:   deny.Executed(outcome.Executed),
		RetryAfter: outcome.RetryAfter,
	})
}

// messageToPeer encodes the answer to a forwarded call.
func messageToPeer(answer chain.Answer) wire.Message {
	switch answer := answer.(type) {
	case chain.Whole:
		return wire.CallOutcome{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	case chain.Refused:
		refusal := answer.Refusal
		return wire.CallOutcome{Refusal: string(refusal.Kind), Detail: refusal.Detail, Executed: string(refusal.Executed), RetryAfter: refusal.RetryAfter}
	default:
		return wire.Failure{Reason: "no answer"}
	}
}
