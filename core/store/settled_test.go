package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestSettledPut(t *testing.T) {
	cases := map[string]struct {
		fault  Fault
		heal   time.Duration // heal is when the fault ends, or 0 for never.
		taken  bool          // taken tells whether another writer was first.
		want   error
		stored bool // stored tells whether the value is ours in the end.
	}{
		"healthy":              {fault: Healthy{}, stored: true},
		"answer-lost":          {fault: LoseAnswers{}, stored: true},
		"write-lost-for-a-bit": {fault: LoseWrites{}, heal: 100 * time.Millisecond, stored: true},
		"write-lost-for-good":  {fault: LoseWrites{}, want: ErrUncertain},
		"taken":                {fault: Healthy{}, taken: true, want: ErrConflict},
		"taken-answer-lost":    {fault: LoseAnswers{}, taken: true, want: ErrConflict},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				memory := NewMemory()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if test.taken {
					_, err := memory.Put(ctx, Object{Kind: "k", Name: "n", WriteID: "theirs"})
					c.Assert(err, quicktest.IsNil)
				}
				memory.SetFault(test.fault)
				if test.heal > 0 {
					time.AfterFunc(test.heal, func() { memory.SetFault(Healthy{}) })
				}
				_, err := Settled{Store: memory}.Put(ctx, Object{Kind: "k", Name: "n", WriteID: "ours"})
				c.Assert(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
				memory.SetFault(Healthy{})
				o, _ := memory.Get(t.Context(), "k", "n")
				c.Assert(o.WriteID == "ours", quicktest.Equals, test.stored)
			})
		})
	}
}
