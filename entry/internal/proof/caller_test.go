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
	callerSilenceTimeout = 2200 * time.Millisecond // Silence after which a caller reconnects: over two heartbeats.
	callerTimeout        = 2 * time.Minute         // Total time after which a caller gives up.
	reconnectDelay       = 200 * time.Millisecond
)

// caller acts as a standard event stream client: it reads a generation and, when the connection fails, resumes at the
// next instance after its last event id.
type caller struct {
	w         *world
	spec      flow.Spec
	nodeIndex int // Index of the instance in use, modulo the number of running ones.

	mu          sync.Mutex
	tokens      []string
	tokenTimes  []time.Time
	lastEventID string
	onToken     func(count int) // Called after each token with the number received so far.
	current     *connection
	gaveUp      bool

	omitsPrompt bool // Resume with the event id alone, without the prompt.
}

// connection is the sink of one stream to a caller; a closed or silent connection records no more tokens.
type connection struct {
	c            *caller
	node         string
	silent       bool
	closed       bool
	lastReceived time.Time
	cancel       context.CancelFunc
}

var errConnectionClosed = errors.New("caller closed the connection")

// Heartbeat shows the caller that the stream is alive.
func (k *connection) Heartbeat() error {
	return k.receive(func() {})
}

// Token records one token and the event id to resume after.
func (k *connection) Token(id string, t flow.Token) error {
	var count int
	err := k.receive(func() {
		k.c.tokens = append(k.c.tokens, t.Text)
		k.c.tokenTimes = append(k.c.tokenTimes, time.Now())
		k.c.lastEventID = id
		count = len(k.c.tokens)
	})
	if err == nil && count > 0 && k.c.onToken != nil {
		k.c.onToken(count)
	}
	return err
}

// receive applies an event that arrived at the caller. It fails if the instance is dead or the connection closed; a
// silent connection drops the event without an error.
func (k *connection) receive(apply func()) error {
	if err := k.c.w.transmit(k.c.w.runCtx, k.node, "caller"); err != nil {
		return err
	}
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	switch {
	case k.closed:
		return errConnectionClosed
	case k.silent:
		return nil
	}
	k.lastReceived = time.Now()
	apply()
	return nil
}

// outcome is the result of a generation as its caller sees it.
type outcome struct {
	done    bool          // The stream came to its regular end.
	refusal *deny.Refusal // The last refusal, or nil.
	retries int
}

// newCaller returns a caller that asks for a generation of a number of tokens.
func newCaller(w *world, seed uint64, tokens int) *caller {
	return &caller{w: w, spec: flow.Spec{Model: "m", Version: "1", Prompt: "a long prompt", Seed: seed, MaxTokens: tokens}}
}

// connect runs one connection and returns the answer, or nil if the connection was lost or closed.
func (c *caller) connect() chain.Answer {
	runningNodes := c.w.runningNodes()
	if len(runningNodes) == 0 {
		return nil
	}
	name := runningNodes[c.nodeIndex%len(runningNodes)]
	ctx, cancel := context.WithCancel(c.w.runCtx)
	defer cancel()
	k := &connection{c: c, node: name, lastReceived: time.Now(), cancel: cancel}
	c.mu.Lock()
	c.current = k
	nextRequest := c.nextRequest()
	c.mu.Unlock()
	c.w.mu.Lock()
	n := c.w.nodes[name]
	c.w.mu.Unlock()
	answers := make(chan chain.Answer, 1)
	go func() {
		if c.w.transmit(ctx, "caller", name) != nil {
			answers <- nil
			return
		}
		answers <- n.Handle(ctx, chain.Call{ID: fmt.Sprintf("r%d-%d", c.spec.Seed, time.Now().UnixNano()), Credential: "key", Request: nextRequest, Sink: k})
	}()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case a := <-answers:
			if c.w.transmit(ctx, name, "caller") != nil || k.isSilent() {
				return nil
			}
			return a
		case <-ticker.C:
			if c.closeIfLost(k) {
				return nil
			}
		}
	}
}

// isSilent tells whether the connection was made silent.
func (k *connection) isSilent() bool {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	return k.silent
}

// closeIfLost closes the connection if its instance is dead or sent nothing for too long, and tells whether it is
// closed. An event that still arrives later fails with errConnectionClosed.
func (c *caller) closeIfLost(k *connection) bool {
	c.w.mu.Lock()
	state := c.w.processStates[k.node]
	c.w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == dead || k.closed || time.Since(k.lastReceived) > callerSilenceTimeout {
		k.closed = true
		return true
	}
	return false
}

// giveUp closes the current connection for good, without a reconnect.
func (c *caller) giveUp() {
	c.mu.Lock()
	c.gaveUp = true
	c.mu.Unlock()
	c.disconnect()
}

func (c *caller) hasGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveUp
}

// disconnect closes the current connection; the caller then reconnects unless it has given up.
func (c *caller) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.closed = true
	c.current.cancel()
}

// nextRequest returns a new generation, or a resume once a token was received; c.mu must be held.
func (c *caller) nextRequest() chain.Request {
	if c.lastEventID != "" {
		if c.omitsPrompt {
			return chain.Resume{LastEventID: c.lastEventID}
		}
		return chain.Resume{LastEventID: c.lastEventID, Prompt: c.spec.Prompt}
	}
	return chain.Generate{Model: "m", Prompt: c.spec.Prompt, Seed: c.spec.Seed, MaxTokens: c.spec.MaxTokens}
}

// run reads the generation and reconnects until it ends, is refused for good or the caller gives up.
func (c *caller) run() outcome {
	start := time.Now()
	var o outcome
	for time.Since(start) < callerTimeout && !c.hasGivenUp() && c.w.runCtx.Err() == nil {
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
		c.nodeIndex++
		time.Sleep(reconnectDelay)
	}
	return o
}

// servingNode returns the name of the instance that the caller connected to last.
func (c *caller) servingNode() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.node
}

// silence makes the current connection drop all further events without an error.
func (c *caller) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.silent = true
}

// longestGap returns the longest time between two consecutive tokens.
func (c *caller) longestGap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for i := 1; i < len(c.tokenTimes); i++ {
		longest = max(longest, c.tokenTimes[i].Sub(c.tokenTimes[i-1]))
	}
	return longest
}

// check returns how the tokens and the outcome violate what callers are promised, or an empty string.
func (c *caller) check(o outcome) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	unexpected := c.w.firstUnexpected(c.spec, c.tokens)
	switch {
	case unexpected >= 0 || len(c.tokens) > c.spec.MaxTokens:
		return fmt.Sprintf("tokens are missing, repeated or from different texts: %d of %d received, the first wrong one at offset %d", len(c.tokens), c.spec.MaxTokens, unexpected)
	case o.done && len(c.tokens) < c.spec.MaxTokens:
		return fmt.Sprintf("stream ended as complete after %d of %d tokens", len(c.tokens), c.spec.MaxTokens)
	case !o.done && o.refusal == nil:
		return fmt.Sprintf("neither an answer nor a refusal after %d tokens and %d retries", len(c.tokens), o.retries)
	case !o.done && o.refusal.Executed == deny.ExecutedNo && len(c.tokens) > 0 && o.retries == 0:
		return "refusal says that the request was not executed, but tokens were received"
	default:
		return ""
	}
}
