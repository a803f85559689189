package wire

import (
	"testing"
	"time"

	"bramleywharf.example/core/member"
	"github.com/frankban/quicktest"
)

// sampleMessages returns a sample of each message type but Pull and Pages.
func sampleMessages() map[string]Message {
	return map[string]Message{
		"gossip":      Gossip{From: member.Member{Name: "a", Incarnation: 3}, Revision: 7, Age: time.Second},
		"pull-config": PullConfig{After: 3},
		"config-page": ConfigPage{Revision: 4, Objects: []ConfigObject{{Kind: "model", Name: "m", Revision: 4, Value: []byte("{}")}}},
		"keep":        Keep{From: "a", Logs: []Log{{Request: "r", Prompt: "p", Tokens: []string{"x"}}}},
		"kept":        Kept{Unknown: []string{"r"}},
		"adopt":       Adopt{Request: "r", By: "b"},
		"adopted":     Adopted{Found: true, Log: Log{Request: "r"}},
		"borrow":      Borrow{From: "a", Wants: []Want{{Organisation: "o", Running: 1, Held: 2, Wanted: 3}}},
		"lent":        Lent{Slots: []int{2}, Life: time.Second},
		"spend":       Spend{Key: "k", Body: []byte("b"), Within: time.Second},
		"spent":       Spent{Status: 200, Body: []byte("b")},
		"failed":      Failed{Reason: "no"},
	}
}

func TestCodec(t *testing.T) {
	for name, m := range sampleMessages() {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			raw, err := Encode(m)
			c.Assert(err, quicktest.IsNil)
			got, err := Decode(raw)
			c.Assert(err, quicktest.IsNil)
			c.Assert(got, quicktest.DeepEquals, m)
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		raw, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Errorf("message decoded from %x cannot be encoded: %v", raw, err)
		}
	})
}
