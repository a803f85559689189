package quota

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestReadAll(t *testing.T) {
	cases := map[string]struct {
		length    int // length is the number of bytes that arrive.
		announced int64
		limit     int64
		err       error
	}{
		"empty":                         {0, 0, 100, nil},
		"announced-size":                {800, 800, 2000, nil},
		"unknown-size":                  {10000, -1, 40000, nil},
		"large":                         {1 << 20, 1 << 20, 4 << 20, nil},
		"no-limit":                      {1 << 20, -1, 0, nil},
		"over-the-budget":               {1 << 20, 1 << 20, 500_000, ErrExhausted},
		"unknown-size-over-the-budget":  {1 << 20, -1, 500_000, ErrExhausted},
		"announced-bytes-do-not-arrive": {10, 1 << 30, 8000, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sent := bytes.Repeat([]byte("x"), test.length)
			b := New(test.limit)
			account := b.Open()
			got, err := ReadAll(iotest.HalfReader(bytes.NewReader(sent)), test.announced, account)
			c.Assert(errors.Is(err, test.err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			if test.err == nil {
				c.Assert(bytes.Equal(got, sent), quicktest.IsTrue)
				c.Assert(b.Used() >= int64(test.length), quicktest.IsTrue)
			}
			if test.limit > 0 {
				c.Assert(b.Used() <= test.limit, quicktest.IsTrue)
			}
			account.Close()
			account.Close()
			c.Assert(b.Used(), quicktest.Equals, int64(0))
			c.Assert(account.Take(1), quicktest.Equals, ErrExhausted)
		})
	}
}

func TestReadError(t *testing.T) {
	_, err := ReadAll(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, nil)
	quicktest.Assert(t, err, quicktest.Equals, io.ErrUnexpectedEOF)
}

// TestBudgetIsShared checks that concurrent requests never hold more than the budget together.
func TestBudgetIsShared(t *testing.T) {
	c := quicktest.New(t)
	b := New(1000)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 200 {
				account := FromContext(NewContext(context.Background(), b.Open()))
				for account.Take(90) == nil {
					if used := b.Used(); used > 1000+16*90 { // Each of the others may be about to give back what it took.
						t.Errorf("%d bytes are held", used)
					}
				}
				account.Close()
			}
		})
	}
	group.Wait()
	c.Assert(b.Used(), quicktest.Equals, int64(0))
	c.Assert(FromContext(context.Background()), quicktest.IsNil)
}

// TestClosedAccountHoldsNothing checks that bytes which are taken while an account is being closed are given back.
func TestClosedAccountHoldsNothing(t *testing.T) {
	budget := New(0)
	var group sync.WaitGroup
	for range 2000 {
		account := budget.Open()
		for range 2 {
			group.Go(func() { _ = account.Take(1) })
		}
		group.Go(account.Close)
	}
	group.Wait()
	quicktest.Assert(t, budget.Used(), quicktest.Equals, int64(0))
}

// TestWorkAfterRequestIsNotRefused checks that work which outlives its request is neither cancelled nor out of memory.
func TestWorkAfterRequestIsNotRefused(t *testing.T) {
	c := quicktest.New(t)
	account := New(1000).Open()
	ctx, cancel := context.WithCancel(NewContext(t.Context(), account))
	detached := Detach(ctx)
	cancel()
	account.Close()
	content, err := ReadAll(strings.NewReader("freed"), -1, FromContext(detached))
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(content), quicktest.Equals, "freed")
	c.Assert(detached.Err(), quicktest.IsNil)
}
