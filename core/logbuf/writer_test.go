package logbuf

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"
)

// blockingWriter blocks each write until unblock is closed.
type blockingWriter struct {
	bytes.Buffer
	started chan struct{} // started receives a value when the first write begins.
	unblock chan struct{}
}

// Write waits until unblock is closed.
func (w *blockingWriter) Write(b []byte) (int, error) {
	select {
	case w.started <- struct{}{}:
	default:
	}
	<-w.unblock
	return w.Buffer.Write(b)
}

func TestWriter(t *testing.T) {
	cases := map[string]struct {
		lines       int
		wantDropped uint64
	}{
		"none":     {0, 0},
		"some":     {3, 0},
		"too-many": {100, 95},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			out := &blockingWriter{started: make(chan struct{}, 1), unblock: make(chan struct{})}
			w := New(out, 4)
			for i := range test.lines {
				_, err := w.Write([]byte("line\n"))
				c.Assert(err, quicktest.IsNil)
				if i == 0 {
					<-out.started
				}
			}
			c.Assert(w.Dropped(), quicktest.Equals, test.wantDropped)
			close(out.unblock)
			w.Close()
			c.Assert(bytes.Count(out.Bytes(), []byte("\n")), quicktest.Equals, test.lines-int(test.wantDropped))
		})
	}
}
