package engine

import (
	"context"

	"bramleywharf.example/core/flow"
	"github.com/pkg/errors"
)

// Errors of model engines.
var (
	ErrForgotten = errors.New("engine does not know the generation")
	ErrRefused   = errors.New("engine takes no new work")
	ErrSevered   = errors.New("connection to the engine broke")
	ErrRange     = errors.New("engine cannot stream from the offset")
	ErrFenced    = errors.New("engine has seen a higher fencing number")
)

// Request asks an engine for a generation that continues a forced prefix.
type Request struct {
	ID     string // ID names the attempt at the engine.
	Spec   flow.Spec
	Forced []string // Forced holds the tokens that the answer begins with.
}

// Event is the sealed set of events of a stream: Token and Ended.
type Event interface {
	isEvent()
}

// Token is one token.
type Token struct {
	flow.Token
}

// Ended is the end of a stream.
type Ended struct {
	Reason string
}

func (Token) isEvent() {}
func (Ended) isEvent() {}

// The reasons for the end of a generation.
const (
	ReasonLength = "length"
	ReasonStop   = "stop"
)

// Complete tells whether the generation ended by itself.
func (e Ended) Complete() bool {
	return e.Reason == ReasonLength || e.Reason == ReasonStop
}

// Load is an engine's report of itself, which lags.
type Load struct {
	Prefilled int      `json:"prefilled-tokens"`
	Decoded   int      `json:"decoded-tokens"`
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Slots     int      `json:"slots"`
	Leaving   bool     `json:"leaving"`
	Fence     uint64   `json:"fence"`
	Models    []string `json:"models"` // Models lists what the engine holds, as declarations name it.
}

// Order tells an engine which models, adapters and versions to hold.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   string `json:"prefix"`
	Added    bool   `json:"added"`
}

// Client talks to model engines at their addresses; implementations are safe for concurrent use.
type Client interface {
	// Attach streams a running generation from an offset on, over a fresh connection, until it ends.
	Attach(ctx context.Context, address, id string, from int, emit func(Event)) error
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, address string, after int) ([]CacheEvent, error)
	// Cancel stops a generation.
	Cancel(ctx context.Context, address, id string) error
	// Load returns the engine's report.
	Load(ctx context.Context, address string) (Load, error)
	// Order tells an engine what to hold; the error wraps ErrFenced when the fencing number is old.
	Order(ctx context.Context, address string, o Order) error
	// Probe asks over a fresh connection whether the engine knows a generation: nil, ErrForgotten or ErrSevered.
	Probe(ctx context.Context, address, id string) error
	// Start begins a generation and streams it until it ends.
	Start(ctx context.Context, address string, r Request, emit func(Event)) error
}
