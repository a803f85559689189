package retry

import (
	"testing"

	"github.com/frankban/quicktest"
)

// fixedOutlook is an Outlook that does not change and counts reserved retries.
type fixedOutlook struct {
	attempts, targets, retries bool
	reserved                   int
}

func (f *fixedOutlook) MayRetry() bool       { return f.attempts }
func (f *fixedOutlook) HasAlternative() bool { return f.targets }
func (f *fixedOutlook) Reserve() bool {
	if f.retries {
		f.reserved++
	}
	return f.retries
}

func TestSilentRequestMovesOnlyWithAlternative(t *testing.T) {
	cases := map[string]struct {
		outlook  fixedOutlook
		moves    bool
		reserved int
	}{
		"somewhere-to-go":  {fixedOutlook{attempts: true, targets: true, retries: true}, true, 1},
		"attempts-used-up": {fixedOutlook{targets: true, retries: true}, false, 0},
		"no-target":        {fixedOutlook{attempts: true, retries: true}, false, 0},
		"no-retries":       {fixedOutlook{attempts: true, targets: true}, false, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, moves := Decide(&test.outlook).(Move)
			c.Assert(moves, quicktest.Equals, test.moves)
			c.Assert(test.outlook.reserved, quicktest.Equals, test.reserved)
		})
	}
}
