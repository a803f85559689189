package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// startPeer starts a peer that answers each wire.PullConfig with a wire.ConfigPage and rejects other messages.
func startPeer(c *quicktest.C, address, secret string) *QUIC {
	q, err := NewQUIC(address, []byte(secret), func(_ context.Context, m wire.Message) wire.Message {
		p, ok := m.(wire.PullConfig)
		if !ok {
			return wire.Failure{Reason: "not a pull"}
		}
		return wire.ConfigPage{Revision: p.After + 1}
	}, metrics.NewSet())
	c.Assert(err, quicktest.IsNil)
	return q
}

func TestCall(t *testing.T) {
	cases := map[string]struct {
		secret  string // secret is the fleet's secret as the client knows it.
		request wire.Message
		want    wire.Message
		wantErr bool
	}{
		"answered":       {secret: "fleet", request: wire.PullConfig{After: 4}, want: wire.ConfigPage{Revision: 5}},
		"refused":        {secret: "fleet", request: wire.SaveLogs{From: "a"}, wantErr: true},
		"another-fleet":  {secret: "stranger", request: wire.PullConfig{}, wantErr: true},
		"large-revision": {secret: "fleet", request: wire.PullConfig{After: 1 << 40}, want: wire.ConfigPage{Revision: 1<<40 + 1}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			server := startPeer(c, "127.0.0.1:0", "fleet")
			defer server.Close()
			client := startPeer(c, "127.0.0.1:0", test.secret)
			defer client.Close()
			got, err := client.Call(t.Context(), server.Address(), test.request)
			c.Assert(err != nil, quicktest.Equals, test.wantErr, quicktest.Commentf("%v", err))
			if !test.wantErr {
				c.Assert(got, quicktest.DeepEquals, test.want)
			}
		})
	}
}

// TestCallAfterRestart checks that requests to a peer that has restarted at its address use a new connection.
func TestCallAfterRestart(t *testing.T) {
	c := quicktest.New(t)
	client := startPeer(c, "127.0.0.1:0", "fleet")
	defer client.Close()
	server := startPeer(c, "127.0.0.1:0", "fleet")
	address := server.Address()
	for range 3 {
		_, err := client.Call(t.Context(), address, wire.PullConfig{})
		c.Assert(err, quicktest.IsNil)
		server.Close()
		server = startPeer(c, address, "fleet")
		deadline := time.Now().Add(10 * time.Second)
		for {
			if _, err := client.Call(t.Context(), address, wire.PullConfig{}); err == nil {
				break
			}
			c.Assert(time.Now().Before(deadline), quicktest.IsTrue)
		}
	}
	server.Close()
}

func TestCallConcurrently(t *testing.T) {
	c := quicktest.New(t)
	server := startPeer(c, "127.0.0.1:0", "fleet")
	defer server.Close()
	client := startPeer(c, "127.0.0.1:0", "fleet")
	defer client.Close()
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			got, err := client.Call(t.Context(), server.Address(), wire.PullConfig{After: uint64(i)})
			c.Check(err, quicktest.IsNil)
			c.Check(got, quicktest.DeepEquals, wire.Message(wire.ConfigPage{Revision: uint64(i) + 1}))
		})
	}
	group.Wait()
}
