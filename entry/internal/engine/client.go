package engine

import (
	"context"

	"bramleywharf.example/core/flow"
	"github.com/pkg/errors"
)

// Errors of model engines.
var (
	ErrForgotten = errors.New("engine does not know the generation")
	ErrRefused   = errors.New("engine refused the request")
	ErrSevered   = errors.New("connection to the engine failed")
	ErrRange     = errors.New("engine cannot stream from the requested offset")
	ErrFenced    = errors.New("engine has seen a higher fencing number")
)

// Request asks an engine for a generation whose answer begins with given tokens.
type Request struct {
	ID     string // ID identifies the attempt at the engine.
	Spec   flow.Spec
	Forced []string // Forced holds the tokens that the engine continues.
}

// Event is the sealed interface of stream events: Token and Ended.
type Event interface {
	isEvent()
}

// Token is one token of a stream.
type Token struct {
	flow.Token
}

// Ended is the end of a stream.
type Ended struct {
	Reason string
}

func (Token) isEvent() {}
func (Ended) isEvent() {}

// Reasons for the normal end of a generation.
const (
	ReasonLength = "length"
	ReasonStop   = "stop"
)

// Complete tells whether the generation ended normally.
func (e Ended) Complete() bool {
	return e.Reason == ReasonLength || e.Reason == ReasonStop
}

// Load is an engine's report of its state, which may lag behind.
type Load struct {
	Prefilled int      `json:"prefilled-tokens"`
	Decoded   int      `json:"decoded-tokens"`
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Slots     int      `json:"slots"`
	Leaving   bool     `json:"leaving"`
	Fence     uint64   `json:"fence"`
	Models    []string `json:"models"` // Models lists what the engine has loaded, in the form used by declarations.
}

// Order tells an engine which models, adapters and versions to load and keep.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
}

// CacheEvent reports that a prompt prefix was added to or removed from an engine's cache.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   string `json:"prefix"`
	Added    bool   `json:"added"`
}

// Client calls model engines at their addresses; implementations are safe for concurrent use.
type Client interface {
	// Attach streams a running generation from an offset, over a new connection, until it ends.
	Attach(ctx context.Context, address, id string, from int, emit func(Event)) error
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, address string, after int) ([]CacheEvent, error)
	// Cancel stops a generation.
	Cancel(ctx context.Context, address, id string) error
	// Load returns the engine's report.
	Load(ctx context.Context, address string) (Load, error)
	// Order tells an engine what to load; the error wraps ErrFenced if the fencing number is old.
	Order(ctx context.Context, address string, o Order) error
	// Probe checks over a new connection whether the engine knows a generation. The error wraps ErrForgotten if it does
	// not, and ErrSevered if the engine cannot be reached.
	Probe(ctx context.Context, address, id string) error
	// Start starts a generation and streams it until it ends.
	Start(ctx context.Context, address string, r Request, emit func(Event)) error
}
