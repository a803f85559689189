package meter

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Dial connects to an address, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	total *metrics.Counter
}

// Counted returns a dial function whose connections add their bytes in both directions to a counter.
func Counted(dial Dial, total *metrics.Counter) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, total: total}, nil
	}
}

// Read counts what is received.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(n)
	return n, err
}

// Write counts what is sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(n)
	return n, err
}
