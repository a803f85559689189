package spill

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"
)

// gate blocks each write until it is opened.
type gate struct {
	bytes.Buffer
	taken chan struct{} // taken gets one value when the first write begins.
	open  chan struct{}
}

// Write waits for the gate.
func (g *gate) Write(b []byte) (int, error) {
	select {
	case g.taken <- struct{}{}:
	default:
	}
	<-g.open
	return g.Buffer.Write(b)
}

func TestWriter(t *testing.T) {
	cases := map[string]struct {
		lines   int
		dropped uint64
	}{
		"none":     {0, 0},
		"some":     {3, 0},
		"too-many": {100, 95},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			out := &gate{taken: make(chan struct{}, 1), open: make(chan struct{})}
			w := New(out, 4)
			for i := range test.lines {
				_, err := w.Write([]byte("line\n"))
				c.Assert(err, quicktest.IsNil)
				if i == 0 {
					<-out.taken
				}
			}
			c.Assert(w.Dropped(), quicktest.Equals, test.dropped)
			close(out.open)
			w.Close()
			c.Assert(bytes.Count(out.Bytes(), []byte("\n")), quicktest.Equals, test.lines-int(test.dropped))
		})
	}
}
