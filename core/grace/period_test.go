package grace

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestCallsEndInLastSixth guards against calls that are ended while the rules do not yet allow it, or with no time left for
// the rest of the shutdown.
func TestCallsEndInLastSixth(t *testing.T) {
	const longestMargin = 700 * time.Millisecond
	for name, length := range map[string]time.Duration{
		"1s": time.Second, "1.5s": 1500 * time.Millisecond, "2s": 2 * time.Second, "3s": 3 * time.Second, "4s": 4 * time.Second,
		"4.2s": 4200 * time.Millisecond, "4.7s": 4700 * time.Millisecond, "5s": 5 * time.Second, "8s": 8 * time.Second, "10s": 10 * time.Second, "60s": time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			began := time.Now()
			p := NewPeriod(began, length)
			margin := p.Left(p.CallsEnd())
			c.Check(p.Elapsed(p.CallsEnd()) > length-length/6, quicktest.IsTrue, quicktest.Commentf("calls end %v after the signal", p.Elapsed(p.CallsEnd())))
			c.Check(margin >= length/10 || margin >= longestMargin, quicktest.IsTrue, quicktest.Commentf("%v are left", margin))
			c.Check(p.AnswerTime()+p.WithdrawTime() < margin, quicktest.IsTrue)
			c.Check(p.AnswerTime() > 0 && p.WithdrawTime() > 0, quicktest.IsTrue)
			c.Check(p.LameDuck() <= length/3, quicktest.IsTrue)
		})
	}
}
