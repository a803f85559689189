package spill

import (
	"io"
	"sync/atomic"
)

// Writer hands lines to another writer by way of a bounded buffer; lines that do not fit are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer whose buffer holds a number of lines.
func New(out io.Writer, capacity int) *Writer {
	w := &Writer{lines: make(chan []byte, capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.lines:
				_, _ = out.Write(line) // There is nowhere to report a log that cannot be written.
			case <-w.stop:
				w.flush(out)
				return
			}
		}
	}()
	return w
}

// Close writes the lines that are buffered and ends.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// Done is closed when the last line is written.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Dropped returns the number of lines that did not fit.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Write takes one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush writes what is buffered.
func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}
