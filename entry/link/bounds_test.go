package link

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// minRetransmission is the time after which Linux sends an unacknowledged segment again, at least. It doubles each time.
const minRetransmission = 200 * time.Millisecond

// TestKernelKeepsPeersThatMayBeSilent checks that the kernel waits for a silent peer for as long as it may be silent, and
// not much longer.
func TestKernelKeepsPeersThatMayBeSilent(t *testing.T) {
	cases := map[string]struct {
		bounds   Bounds
		min, max time.Duration
	}{
		"caller-until-its-deadline": {CallerBounds(), 25 * time.Second, 40 * time.Second},
		"target-and-store":          {TargetBounds(), 3 * time.Second, 4 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			probes := test.bounds.Probes
			c.Assert(probes.Enable, quicktest.IsTrue)
			waits := map[string]time.Duration{
				"probes":         probes.Idle + time.Duration(probes.Count)*probes.Interval,
				"unacknowledged": test.bounds.Unacknowledged,
			}
			for name, wait := range waits {
				c.Check(wait >= test.min && wait <= test.max, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, wait))
			}
		})
	}
}

// TestTargetOutlivesPause checks, by the options of a connection to a target, that the kernel does not end it for one lost
// probe, and sends bytes again after a pause of two seconds before it ends it.
func TestTargetOutlivesPause(t *testing.T) {
	const pause = 2 * time.Second
	c := quicktest.New(t)
	target := newTarget(t, func(raw net.Conn, r *http.Request, _, _ int) bool { return respond(raw, "id", "", "") })
	l := newLink(t)
	reply, err := l.Send(context.Background(), newRequest(target.address, "id"))
	c.Assert(err, quicktest.IsNil)
	defer reply.Close()
	control, err := reply.conn.Conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, quicktest.IsNil)
	option := func(name int, unit time.Duration) (value time.Duration) {
		c.Assert(control.Control(func(fd uintptr) {
			n, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			c.Assert(err, quicktest.IsNil)
			value = time.Duration(n) * unit
		}), quicktest.IsNil)
		return value
	}
	userTimeout := TargetBounds().Unacknowledged
	if CheckUserTimeout() == nil {
		c.Check(option(unix.TCP_USER_TIMEOUT, time.Millisecond), quicktest.Equals, userTimeout)
	}
	secondProbe := option(unix.TCP_KEEPIDLE, time.Second) + option(unix.TCP_KEEPINTVL, time.Second)
	c.Check(secondProbe < userTimeout, quicktest.IsTrue, quicktest.Commentf("second probe after %v, end after %v", secondProbe, userTimeout))
	c.Check(option(unix.TCP_KEEPCNT, 1) > 2, quicktest.IsTrue)
	last := time.Duration(0) // last is when bytes are sent for the last time.
	for wait := minRetransmission; last+wait < userTimeout; wait *= 2 {
		last += wait
	}
	c.Check(last >= pause, quicktest.IsTrue, quicktest.Commentf("sent again after %v for the last time, end after %v", last, userTimeout))
}
