package engine

import (
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"bramleywharf.example/stand/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// countingListener counts the connections it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept accepts a connection and counts it.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// TestReportsShareAConnection checks that repeated requests for loads and cache events reuse one connection.
func TestReportsShareAConnection(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewUnstartedServer(engine.New(engine.Settings{Slots: 1}))
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := NewHTTP(metrics.NewSet())
	defer client.Close()
	for range 20 {
		_, err := client.Load(t.Context(), listener.Addr().String())
		c.Assert(err, quicktest.IsNil)
		_, err = client.CacheEvents(t.Context(), listener.Addr().String(), 0)
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(listener.accepted.Load(), quicktest.Equals, int64(1))
}
