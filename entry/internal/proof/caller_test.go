package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

const (
	callerPatience = 2200 * time.Millisecond // callerPatience is the silence after which a caller connects elsewhere, above two heartbeats.
	callerBound    = 2 * time.Minute         // callerBound is when a caller gives up.
	callerPause    = 200 * time.Millisecond
)

// caller is a caller with a stock client: it reads a stream and reconnects after its last event id.
type caller struct {
	w    *world
	spec flow.Spec
	at   int // at is the index of the instance that the caller uses.

	mu      sync.Mutex
	tokens  []string
	times   []time.Time
	lastID  string
	each    func(count int)
	current *connection
	gone    bool

	forgetful bool // forgetful callers send their event id alone when they come back.
}

// connection is one stream of a caller; a closed or silent one takes nothing more.
type connection struct {
	c      *caller
	node   string
	silent bool
	closed bool
	heard  time.Time
	cancel context.CancelFunc
}

var errConnection = errors.New("caller's connection is closed")

// Heartbeat counts as a sign of life.
func (k *connection) Heartbeat() error {
	return k.take(func() {})
}

// Token takes one token.
func (k *connection) Token(id string, t flow.Token) error {
	var count int
	err := k.take(func() {
		k.c.tokens = append(k.c.tokens, t.Text)
		k.c.times = append(k.c.times, time.Now())
		k.c.lastID = id
		count = len(k.c.tokens)
	})
	if err == nil && count > 0 && k.c.each != nil {
		k.c.each(count)
	}
	return err
}

// take runs the effect of an event unless the connection is closed or its instance is dead; a silent one swallows it.
func (k *connection) take(effect func()) error {
	if err := k.c.w.pass(k.c.w.life, k.node, "caller"); err != nil {
		return err
	}
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	switch {
	case k.closed:
		return errConnection
	case k.silent:
		return nil
	}
	k.heard = time.Now()
	effect()
	return nil
}

// outcome is what a caller ends with.
type outcome struct {
	done    bool
	refusal *deny.Refusal
	retries int
}

// newCaller returns a caller of a generation.
func newCaller(w *world, seed uint64, tokens int) *caller {
	return &caller{w: w, spec: flow.Spec{Model: "m", Version: "1", Prompt: "a long prompt", Seed: seed, MaxTokens: tokens}}
}

// connect runs one connection until it ends, breaks or falls silent, and returns the answer or nil.
func (c *caller) connect() chain.Answer {
	names := c.w.names()
	if len(names) == 0 {
		return nil
	}
	name := names[c.at%len(names)]
	ctx, cancel := context.WithCancel(c.w.life)
	defer cancel()
	k := &connection{c: c, node: name, heard: time.Now(), cancel: cancel}
	c.mu.Lock()
	c.current = k
	request := c.request()
	c.mu.Unlock()
	c.w.mu.Lock()
	n := c.w.nodes[name]
	c.w.mu.Unlock()
	answers := make(chan chain.Answer, 1)
	go func() {
		if c.w.pass(ctx, "caller", name) != nil {
			answers <- nil
			return
		}
		answers <- n.Handle(ctx, chain.Call{ID: fmt.Sprintf("r%d-%d", c.spec.Seed, time.Now().UnixNano()), Credential: "key", Request: request, Sink: k})
	}()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case a := <-answers:
			if c.w.pass(ctx, name, "caller") != nil || k.isSilent() {
				return nil
			}
			return a
		case <-tick.C:
			if c.lost(k) {
				return nil
			}
		}
	}
}

// isSilent tells whether the connection has gone silent.
func (k *connection) isSilent() bool {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	return k.silent
}

// lost tells whether the caller sees its connection as lost, and closes it then; its instance learns of that only if it can.
func (c *caller) lost(k *connection) bool {
	c.w.mu.Lock()
	condition := c.w.conditions[k.node]
	c.w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if condition == dead || k.closed || time.Since(k.heard) > callerPatience {
		k.closed = true
		return true
	}
	return false
}

// giveUp closes the current connection and never comes back.
func (c *caller) giveUp() {
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	c.leave()
}

// isGone tells whether the caller gave up.
func (c *caller) isGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// leave closes the current connection, as a caller that goes away does.
func (c *caller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.closed = true
	c.current.cancel()
}

// request returns what the caller sends next; the lock is held.
func (c *caller) request() chain.Request {
	if c.lastID != "" {
		if c.forgetful {
			return chain.Resume{LastEventID: c.lastID}
		}
		return chain.Resume{LastEventID: c.lastID, Prompt: c.spec.Prompt}
	}
	return chain.Generate{Model: "m", Prompt: c.spec.Prompt, Seed: c.spec.Seed, MaxTokens: c.spec.MaxTokens}
}

// run reads the generation to its end, reconnecting as often as it takes.
func (c *caller) run() outcome {
	began := time.Now()
	var o outcome
	for time.Since(began) < callerBound && !c.isGone() && c.w.life.Err() == nil {
		switch a := c.connect().(type) {
		case chain.Streamed:
			o.done = true
			return o
		case chain.Refused:
			o.refusal = &a.Refusal
			if a.Refusal.RetryAfter == 0 {
				return o
			}
		}
		o.retries++
		c.at++
		time.Sleep(callerPause)
	}
	return o
}

// serving returns the name of the instance that the caller is connected to.
func (c *caller) serving() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.node
}

// silence makes the caller's connection silent for good.
func (c *caller) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.silent = true
}

// longestGap returns the longest time between two tokens.
func (c *caller) longestGap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for i := 1; i < len(c.times); i++ {
		longest = max(longest, c.times[i].Sub(c.times[i-1]))
	}
	return longest
}

// check returns what is wrong with the answer, or an empty text.
func (c *caller) check(o outcome) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	stray := c.w.firstStray(c.spec, c.tokens)
	switch {
	case stray >= 0 || len(c.tokens) > c.spec.MaxTokens:
		return fmt.Sprintf("tokens are missing, repeated or mixed: %d of %d, the first at %d", len(c.tokens), c.spec.MaxTokens, stray)
	case o.done && len(c.tokens) < c.spec.MaxTokens:
		return fmt.Sprintf("answer was called whole after %d of %d tokens", len(c.tokens), c.spec.MaxTokens)
	case !o.done && o.refusal == nil:
		return fmt.Sprintf("neither an answer nor a refusal after %d tokens and %d tries", len(c.tokens), o.retries)
	case !o.done && o.refusal.Executed == deny.ExecutedNo && len(c.tokens) > 0 && o.retries == 0:
		return "refusal says not run after tokens came"
	default:
		return ""
	}
}
