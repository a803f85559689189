package audit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
	"github.com/frankban/quicktest"
)

// raced delays the first write of a configuration object until another has been made.
type raced struct {
	store.Store
	before func()
	once   sync.Once
}

// Put writes after the rival.
func (r *raced) Put(ctx context.Context, o store.Object) (uint64, error) {
	if o.Kind == conf.KindSheet {
		r.once.Do(r.before)
	}
	return r.Store.Put(ctx, o)
}

func TestChange(t *testing.T) {
	cases := map[string]struct {
		fault   store.Fault
		heal    time.Duration // heal is when the fault ends, or 0 for never.
		rival   bool
		fails   bool
		outcome Outcome // outcome is that of our record in the history.
		stands  string
	}{
		"healthy":             {fault: store.Healthy{}, outcome: Accepted, stands: "ours"},
		"answers-lost":        {fault: store.LoseAnswers{}, outcome: Accepted, stands: "ours"},
		"writes-lost-a-while": {fault: store.LoseWrites{}, heal: 200 * time.Millisecond, outcome: Accepted, stands: "ours"},
		"writes-lost":         {fault: store.LoseWrites{}, fails: true},
		"platform-down":       {fault: store.Down{}, fails: true},
		"rival-wins":          {fault: store.Healthy{}, rival: true, fails: true, outcome: Refused, stands: "theirs"},
		"rival-wins-unheard":  {fault: store.LoseAnswers{}, rival: true, fails: true, outcome: Refused, stands: "theirs"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				memory := store.NewMemory()
				memory.SetFault(test.fault)
				if test.heal > 0 {
					time.AfterFunc(test.heal, func() { memory.SetFault(store.Healthy{}) })
				}
				r := &raced{Store: memory, before: func() {
					if test.rival {
						_, _ = memory.Put(t.Context(), store.Object{Kind: conf.KindSheet, Name: "club", WriteID: "rival", Value: []byte(`"theirs"`)})
					}
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := NewTrail(r).Change(ctx, "planner", store.Object{Kind: conf.KindSheet, Name: "club", Value: []byte(`"ours"`)}, nil)
				c.Assert(err != nil, quicktest.Equals, test.fails, quicktest.Commentf("%v", err))
				memory.SetFault(store.Healthy{})
				records, err := NewTrail(memory).History(t.Context(), conf.KindSheet, "club")
				c.Assert(err, quicktest.IsNil)
				if test.outcome != "" {
					c.Assert(records, quicktest.HasLen, 1)
					c.Assert(records[0].Outcome, quicktest.Equals, test.outcome)
				}
				o, _ := memory.Get(t.Context(), conf.KindSheet, "club")
				want := ""
				if test.stands != "" {
					want = `"` + test.stands + `"`
				}
				c.Assert(string(o.Value), quicktest.Equals, want)
			})
		})
	}
}
