package uptime

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestNow checks that the clock goes on at the pace of the monotonic one.
func TestNow(t *testing.T) {
	c := quicktest.New(t)
	started := time.Now()
	before, err := Now()
	c.Assert(err, quicktest.IsNil)
	time.Sleep(50 * time.Millisecond)
	after, err := Now()
	c.Assert(err, quicktest.IsNil)
	c.Assert(after-before >= 50*time.Millisecond, quicktest.IsTrue)
	c.Assert(after-before <= time.Since(started)+time.Second, quicktest.IsTrue)
}
