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

// counted counts the connections that a listener accepts.
type counted struct {
	net.Listener
	accepted atomic.Int64
}

// Accept accepts and counts.
func (l *counted) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// TestReportsShareAConnection checks that asking for reports again and again opens no connection each time.
func TestReportsShareAConnection(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewUnstartedServer(engine.New(engine.Settings{Slots: 1}))
	l := &counted{Listener: server.Listener}
	server.Listener = l
	server.Start()
	defer server.Close()
	client := NewHTTP(metrics.NewSet())
	defer client.Close()
	for range 20 {
		_, err := client.Load(t.Context(), l.Addr().String())
		c.Assert(err, quicktest.IsNil)
		_, err = client.CacheEvents(t.Context(), l.Addr().String(), 0)
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(l.accepted.Load(), quicktest.Equals, int64(1))
}
