package peer

import (
	"context"

	"bramleywharf.example/core/wire"
)

// Client sends requests to other instances; implementations are safe for concurrent use.
type Client interface {
	// Call sends a request to a peer address and returns the response.
	Call(ctx context.Context, address string, m wire.Message) (wire.Message, error)
}

// Handler returns the response to a request from another instance.
type Handler func(ctx context.Context, m wire.Message) wire.Message
