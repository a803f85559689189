package peer

import (
	"context"

	"bramleywharf.example/core/wire"
)

// Net asks other instances questions; implementations are safe for concurrent use.
type Net interface {
	// Ask sends a message to a peer address and returns the answer.
	Ask(ctx context.Context, address string, m wire.Message) (wire.Message, error)
}

// Handler answers a message from another instance.
type Handler func(ctx context.Context, m wire.Message) wire.Message
