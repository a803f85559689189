package meter

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Dial connects to an address, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// countingConn is a connection that adds the bytes it reads and writes to byteCount.
type countingConn struct {
	net.Conn
	byteCount *metrics.Counter
}

// CountBytes returns a dial function whose connections add the bytes that they read and write to a counter.
func CountBytes(dial Dial, byteCount *metrics.Counter) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, byteCount: byteCount}, nil
	}
}

// Read counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(n)
	return n, err
}

// Write counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(n)
	return n, err
}
