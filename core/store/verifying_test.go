package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestVerifyingPut(t *testing.T) {
	cases := map[string]struct {
		fault         Fault
		faultDuration time.Duration // faultDuration is the time until the fault ends; 0 means never.
		conflicting   bool          // conflicting tells whether another writer creates the object first.
		wantErr       error
		wantStored    bool // wantStored tells whether the written object is stored in the end.
	}{
		"healthy":              {fault: Healthy{}, wantStored: true},
		"answer-lost":          {fault: LoseResponses{}, wantStored: true},
		"write-lost-at-first":  {fault: LoseWrites{}, faultDuration: 100 * time.Millisecond, wantStored: true},
		"write-lost-always":    {fault: LoseWrites{}, wantErr: ErrOutcomeUnknown},
		"conflict":             {fault: Healthy{}, conflicting: true, wantErr: ErrConflict},
		"conflict-answer-lost": {fault: LoseResponses{}, conflicting: true, wantErr: ErrConflict},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				memory := NewMemory()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if test.conflicting {
					_, err := memory.Put(ctx, Object{Kind: "k", Name: "n", WriteID: "theirs"})
					c.Assert(err, quicktest.IsNil)
				}
				memory.SetFault(test.fault)
				if test.faultDuration > 0 {
					time.AfterFunc(test.faultDuration, func() { memory.SetFault(Healthy{}) })
				}
				_, err := Verifying{Store: memory}.Put(ctx, Object{Kind: "k", Name: "n", WriteID: "ours"})
				c.Assert(errors.Is(err, test.wantErr), quicktest.IsTrue, quicktest.Commentf("%v", err))
				memory.SetFault(Healthy{})
				o, _ := memory.Get(t.Context(), "k", "n")
				c.Assert(o.WriteID == "ours", quicktest.Equals, test.wantStored)
			})
		})
	}
}
