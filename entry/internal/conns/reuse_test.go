package conns

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestCallersAreToldWhenToStopReuse checks that a caller which keeps to what answers say never sends a request on a
// connection that is being closed as idle.
func TestCallersAreToldWhenToStopReuse(t *testing.T) {
	cases := map[string]struct {
		limit   time.Duration
		leaving bool
		want    string // want is the Keep-Alive header of an answer.
	}{
		"usual":    {15 * time.Second, false, "timeout=13"},
		"short":    {3 * time.Second, false, "timeout=1"},
		"no-limit": {0, false, ""},
		"leaving":  {15 * time.Second, true, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.limit.Store(int64(test.limit))
			caller := s.connect()
			if test.leaving {
				s.Leave()
			}
			s.release <- struct{}{}
			caller.send()
			<-s.started
			answer, err := caller.receive()
			s.c.Assert(err, quicktest.IsNil)
			s.c.Assert(answer.Header.Get("Keep-Alive"), quicktest.Equals, test.want)
			s.c.Assert(answer.Close, quicktest.Equals, test.leaving)
		})
	}
}
