package logbuf

import (
	"io"
	"sync/atomic"
)

// Writer passes lines to another writer through a bounded buffer; lines that do not fit are dropped and counted.
type Writer struct {
	buffer  chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer to out that buffers up to capacity lines.
func New(out io.Writer, capacity int) *Writer {
	w := &Writer{buffer: make(chan []byte, capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.buffer:
				_, _ = out.Write(line) // A failure to write the log cannot be logged.
			case <-w.stop:
				w.flush(out)
				return
			}
		}
	}()
	return w
}

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// Done returns a channel that closes when the last line has been written after Close.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Write buffers or drops one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.buffer <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush writes the buffered lines.
func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.buffer:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}
