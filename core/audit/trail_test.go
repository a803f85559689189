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

// racingStore runs a competing write before the first write of a sheet.
type racingStore struct {
	store.Store
	competingWrite func()
	once           sync.Once
}

// Put runs the competing write first.
func (r *racingStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	if o.Kind == conf.KindSheet {
		r.once.Do(r.competingWrite)
	}
	return r.Store.Put(ctx, o)
}

func TestApply(t *testing.T) {
	cases := map[string]struct {
		fault     store.Fault
		faultEnds time.Duration // The time after which the fault ends, or 0 for never.
		competing bool
		wantErr   bool
		outcome   Outcome // The outcome in the history, or empty if it is not checked.
		stored    string  // The value of the sheet afterwards.
	}{
		"healthy":                               {fault: store.Healthy{}, outcome: Accepted, stored: "ours"},
		"answers-lost":                          {fault: store.LoseResponses{}, outcome: Accepted, stored: "ours"},
		"writes-lost-for-a-while":               {fault: store.LoseWrites{}, faultEnds: 200 * time.Millisecond, outcome: Accepted, stored: "ours"},
		"writes-lost":                           {fault: store.LoseWrites{}, wantErr: true},
		"platform-down":                         {fault: store.Down{}, wantErr: true},
		"competing-write-wins":                  {fault: store.Healthy{}, competing: true, wantErr: true, outcome: Refused, stored: "theirs"},
		"competing-write-wins-and-answers-lost": {fault: store.LoseResponses{}, competing: true, wantErr: true, outcome: Refused, stored: "theirs"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				memory := store.NewMemory()
				memory.SetFault(test.fault)
				if test.faultEnds > 0 {
					time.AfterFunc(test.faultEnds, func() { memory.SetFault(store.Healthy{}) })
				}
				r := &racingStore{Store: memory, competingWrite: func() {
					if test.competing {
						_, _ = memory.Put(t.Context(), store.Object{Kind: conf.KindSheet, Name: "club", WriteID: "rival", Value: []byte(`"theirs"`)})
					}
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := NewTrail(r).Apply(ctx, "planner", store.Object{Kind: conf.KindSheet, Name: "club", Value: []byte(`"ours"`)}, nil)
				c.Assert(err != nil, quicktest.Equals, test.wantErr, quicktest.Commentf("%v", err))
				memory.SetFault(store.Healthy{})
				records, err := NewTrail(memory).History(t.Context(), conf.KindSheet, "club")
				c.Assert(err, quicktest.IsNil)
				if test.outcome != "" {
					c.Assert(records, quicktest.HasLen, 1)
					c.Assert(records[0].Outcome, quicktest.Equals, test.outcome)
				}
				o, _ := memory.Get(t.Context(), conf.KindSheet, "club")
				want := ""
				if test.stored != "" {
					want = `"` + test.stored + `"`
				}
				c.Assert(string(o.Value), quicktest.Equals, want)
			})
		})
	}
}
