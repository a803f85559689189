package conns

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestAllowsClose checks which connections a rule closes; one that became idle under an earlier configuration stays
// open for as long as the caller was told then.
func TestAllowsClose(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := map[string]struct {
		phase phase
		rule  rule
		want  bool
	}{
		"within-the-limit":                   {idle{ago(9 * time.Second), 10 * time.Second}, overLimit{limit: 10 * time.Second}, false},
		"over-the-limit":                     {idle{ago(11 * time.Second), 10 * time.Second}, overLimit{limit: 10 * time.Second}, true},
		"limit-was-lowered":                  {idle{ago(9 * time.Second), 10 * time.Second}, overLimit{limit: time.Second}, false},
		"limit-was-lowered-and-is-over":      {idle{ago(11 * time.Second), 10 * time.Second}, overLimit{limit: time.Second}, true},
		"limit-was-raised":                   {idle{ago(9 * time.Second), time.Second}, overLimit{limit: 10 * time.Second}, false},
		"limit-was-raised-and-is-over":       {idle{ago(11 * time.Second), time.Second}, overLimit{limit: 10 * time.Second}, true},
		"limit-was-removed":                  {idle{ago(time.Hour), time.Second}, overLimit{}, false},
		"limit-was-added":                    {idle{ago(time.Hour), 0}, overLimit{limit: time.Second}, false},
		"request-in-progress-over-the-limit": {busy{}, overLimit{limit: time.Second}, false},
		"nothing-received-over-the-limit":    {fresh{ago(time.Hour)}, overLimit{limit: time.Second}, false},
		"already-closed":                     {closed{}, overLimit{limit: time.Second}, false},
		"idle-while-leaving":                 {idle{ago(time.Second), 10 * time.Second}, leaving{}, true},
		"just-answered-while-leaving":        {idle{ago(time.Millisecond), 10 * time.Second}, leaving{}, true},
		"new-while-leaving":                  {fresh{ago(time.Hour)}, leaving{}, false},
		"just-opened-while-draining":         {fresh{ago(time.Millisecond)}, draining{}, false},
		"nothing-received-while-draining":    {fresh{ago(time.Second)}, draining{}, true},
		"idle-while-draining":                {idle{ago(time.Second), 10 * time.Second}, draining{}, true},
		"request-in-progress-while-draining": {busy{}, draining{}, false},
		"request-in-progress-while-leaving":  {busy{}, leaving{}, false},
		"already-closed-while-leaving":       {closed{}, leaving{}, false},
		"idle-without-a-limit-while-leaving": {idle{ago(time.Second), 0}, leaving{}, true},
		"stray-bytes-within-the-limit":       {reading{idle{ago(9 * time.Second), 10 * time.Second}, ago(9 * time.Second), 2}, overLimit{limit: 10 * time.Second, head: time.Second}, false},
		"stray-bytes-over-the-limit":         {reading{idle{ago(11 * time.Second), 10 * time.Second}, ago(9 * time.Second), 2}, overLimit{limit: 10 * time.Second, head: time.Second}, true},
		"stray-bytes-without-a-limit":        {reading{idle{ago(time.Hour), 0}, ago(time.Hour), 2}, overLimit{head: time.Second}, false},
		"slow-head-over-the-limit":           {reading{idle{ago(11 * time.Second), 10 * time.Second}, ago(2 * time.Second), 2}, overLimit{limit: 10 * time.Second, head: 3 * time.Second}, false},
		"stalled-head-over-the-limit":        {reading{idle{ago(13 * time.Second), 10 * time.Second}, ago(4 * time.Second), 2}, overLimit{limit: 10 * time.Second, head: 3 * time.Second}, true},
		"stray-bytes-while-leaving":          {reading{idle{ago(time.Hour), time.Second}, ago(time.Hour), 2}, leaving{}, false},
		"slow-head-while-draining":           {reading{idle{ago(time.Hour), time.Second}, ago(settleTime / 2), 2}, draining{}, false},
		"stray-bytes-while-draining":         {reading{idle{ago(time.Second), time.Hour}, ago(2 * settleTime), 2}, draining{}, true},
		"idle-exactly-as-long-as-the-limit":  {idle{ago(time.Second), time.Second}, overLimit{limit: time.Second}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(allowsClose(test.rule, test.phase, now), quicktest.Equals, test.want)
		})
	}
}

// TestReceived checks that a connection is busy as soon as net/http bounds the rest of the head by its header timeout.
func TestReceived(t *testing.T) {
	start, now := time.Unix(100, 0), time.Unix(200, 0)
	last := idle{since: start, limit: time.Second}
	cases := map[string]struct {
		phase phase
		count int
		want  phase
	}{
		"first-byte":              {last, 1, reading{idle: last, since: now, bytes: 1}},
		"one-byte-less":           {last, 3, reading{idle: last, since: now, bytes: 3}},
		"all-at-once":             {last, 4, busy{}},
		"next-byte":               {reading{idle: last, since: start, bytes: 2}, 1, reading{idle: last, since: now, bytes: 3}},
		"last-byte":               {reading{idle: last, since: start, bytes: 3}, 1, busy{}},
		"first-byte-of-a-new-one": {fresh{since: start}, 1, busy{}},
		"request-in-progress":     {busy{}, 1, busy{}},
		"already-closed":          {closed{}, 1, closed{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(received(test.phase, test.count, now) == test.want, quicktest.IsTrue)
		})
	}
}
