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

// issuedPrefix begins the text of issued keys.
const issuedPrefix = "bw1."

// ticketLife is how long an issued key may be spent.
const ticketLife = 10 * time.Minute

// errForgedKey is returned for a key that this fleet did not issue.
var errForgedKey = errors.New("key was not issued by this fleet")

// Ticket is the content of an issued key.
type Ticket struct {
	Instance string        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"` // Epoch names one life of the issuing process.
	Serial   uint64        `cbor:"3,keyasint"`
	Issued   time.Duration `cbor:"4,keyasint"` // Issued is the time from the start of the epoch to the issue of the key.
}

// Members gives the members by name.
type Members interface {
	// View returns the members.
	View() member.View
}

// Issuer hands out keys and decides those that it handed out, from its own memory alone.
type Issuer struct {
	self    string
	epoch   uint64
	began   time.Time
	aead    cipher.AEAD
	members Members
	net     peer.Net
	serial  atomic.Uint64

	mu    sync.Mutex
	spent map[uint64]*spent
}

// spent is an issued key that was used.
type spent struct {
	hash   string
	at     time.Time
	done   chan struct{} // done closes when answer is set.
	answer chain.Answer
}

// NewIssuer returns an issuer for one life of the named instance.
func NewIssuer(self string, epoch uint64, secret []byte, members Members, net peer.Net) (*Issuer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "bramleywharf issued key", 32)
	if err != nil {
		return nil, fmt.Errorf("derive issuing key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("set up issuing cipher: %w", err)
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, fmt.Errorf("set up issuing: %w", err)
	}
	return &Issuer{self: self, epoch: epoch, began: time.Now(), aead: aead, members: members, net: net, spent: make(map[uint64]*spent)}, nil
}

// Handle runs a call whose key was issued here and that reached another instance.
func (i *Issuer) Handle(ctx context.Context, o *Once, declared conf.ServiceCall, s wire.Spend) wire.Message {
	ticket, err := i.open(s.Organisation, s.Key)
	if err != nil || ticket.Instance != i.self {
		return wire.Failed{Reason: "key was not issued here"}
	}
	ctx, cancel := context.WithTimeout(ctx, min(s.Within, callBound))
	defer cancel()
	order := Order{
		Organisation: s.Organisation,
		Service:      s.Service,
		Declared:     declared,
		Call:         engine.Call{Method: s.Method, Path: s.Path, Key: s.Key, ContentType: s.ContentType, Body: s.Body},
	}
	return spentMessage(i.spend(ctx, o, order, ticket))
}

// Issue returns a new key for an organisation.
func (i *Issuer) Issue(organisation string) (string, error) {
	plain, err := cbor.Marshal(Ticket{
		Instance: i.self,
		Epoch:    i.epoch,
		Serial:   i.serial.Add(1),
		Issued:   time.Since(i.began),
	})
	if err != nil {
		return "", fmt.Errorf("encode key: %w", err)
	}
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(i.aead.Seal(nil, nil, plain, []byte(organisation))), nil
}

// forward asks the instance that issued a key to run the call.
func (i *Issuer) forward(ctx context.Context, order Order, t Ticket) chain.Answer {
	m, ok := i.members.View().Get(t.Instance)
	if !ok || m.State == member.Dead {
		return issuerGone()
	}
	deadline, _ := ctx.Deadline()
	answer, err := i.net.Ask(ctx, m.PeerAddress, wire.Spend{
		Key:          order.Call.Key,
		Organisation: order.Organisation,
		Service:      order.Service,
		Method:       order.Call.Method,
		Path:         order.Call.Path,
		ContentType:  order.Call.ContentType,
		Body:         order.Call.Body,
		Within:       time.Until(deadline) - lookPause,
	})
	if err != nil {
		return issuerGone()
	}
	s, ok := answer.(wire.Spent)
	if !ok {
		return issuerGone()
	}
	return spentAnswer(s)
}

// open returns the ticket of a key that was issued to an organisation.
func (i *Issuer) open(organisation, key string) (Ticket, error) {
	var t Ticket
	sealed, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(key, issuedPrefix))
	if err != nil {
		return t, errForgedKey
	}
	plain, err := i.aead.Open(nil, nil, sealed, []byte(organisation))
	if err != nil {
		return t, errForgedKey
	}
	if err := cbor.Unmarshal(plain, &t); err != nil {
		return t, fmt.Errorf("decode key: %w", err)
	}
	return t, nil
}

// run decides an issued key here or where it was issued.
func (i *Issuer) run(ctx context.Context, o *Once, order Order, a Issued) chain.Answer {
	switch {
	case a.Forged:
		return chain.Refuse(deny.New(deny.KindMalformed, "%v; keys that begin with %s are issued by GET /v1/keys", errForgedKey, issuedPrefix))
	case a.Ticket.Instance == i.self:
		return i.spend(ctx, o, order, a.Ticket)
	default:
		return i.forward(ctx, order, a.Ticket)
	}
}

// spend runs a call whose key this instance issued, once in its life.
func (i *Issuer) spend(ctx context.Context, o *Once, order Order, t Ticket) chain.Answer {
	if t.Epoch != i.epoch {
		return issuerGone()
	}
	i.mu.Lock()
	i.sweep()
	s, used := i.spent[t.Serial]
	if !used && time.Since(i.began)-t.Issued > ticketLife {
		i.mu.Unlock()
		return chain.Refuse(deny.New(deny.KindOutcome, "the issued key is older than %s", ticketLife).WithExecuted(deny.ExecutedUnknown))
	}
	if !used {
		s = &spent{hash: bodyHash(order.Call), at: time.Now(), done: make(chan struct{})}
		i.spent[t.Serial] = s
	}
	i.mu.Unlock()
	if !used {
		return i.first(ctx, o, order, t, s)
	}
	if s.hash != bodyHash(order.Call) {
		return conflict()
	}
	select {
	case <-s.done:
		return s.answer
	case <-before(ctx).Done():
		return o.outcomeUnknown("the same key is being handled")
	}
}

// first sends the call of a fresh key; a key whose call surely was not sent becomes fresh again.
func (i *Issuer) first(ctx context.Context, o *Once, order Order, t Ticket, s *spent) chain.Answer {
	answer, sent := o.direct(ctx, order)
	s.answer = answer
	close(s.done)
	if !sent {
		i.mu.Lock()
		delete(i.spent, t.Serial)
		i.mu.Unlock()
	}
	return answer
}

// sweep forgets keys that were spent so long ago that they are too old to be spent again.
func (i *Issuer) sweep() {
	now := time.Now()
	for serial, s := range i.spent {
		if now.Sub(s.at) > 2*ticketLife {
			delete(i.spent, serial)
		}
	}
}

// direct sends a call once, to the first target that can be reached, and tells whether it may have been sent.
func (o *Once) direct(ctx context.Context, order Order) (chain.Answer, bool) {
	for _, t := range o.targets.Services(order.Service) {
		result, err := o.caller.Call(before(ctx), t.Address, order.Call)
		switch {
		case err == nil:
			o.executed.Inc()
			return whole(result), true
		case errors.Is(err, engine.ErrNotSent):
			continue
		}
		return o.status(ctx, order, t.Address), true
	}
	return unavailable("no target of service %s could be reached", order.Service), false
}

// issuerGone refuses a key whose issuer can no longer tell whether it was spent.
func issuerGone() chain.Answer {
	return chain.Refuse(deny.New(deny.KindOutcome, "the instance that issued the key cannot be asked whether it was spent").
		WithExecuted(deny.ExecutedUnknown))
}

// spentAnswer returns the answer that a peer sent.
func spentAnswer(s wire.Spent) chain.Answer {
	if s.Refusal == "" {
		return chain.Whole{Status: s.Status, ContentType: s.ContentType, Body: s.Body}
	}
	return chain.Refuse(deny.Refusal{
		Kind:       deny.Kind(s.Refusal),
		Detail:     s.Detail,
		Executed:   deny.Executed(s.Executed),
		RetryAfter: s.RetryAfter,
	})
}

// spentMessage returns the message that carries an answer to a peer.
func spentMessage(a chain.Answer) wire.Message {
	switch a := a.(type) {
	case chain.Whole:
		return wire.Spent{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
	case chain.Refused:
		r := a.Refusal
		return wire.Spent{Refusal: string(r.Kind), Detail: r.Detail, Executed: string(r.Executed), RetryAfter: r.RetryAfter}
	default:
		return wire.Failed{Reason: "no answer"}
	}
}
