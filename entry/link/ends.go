package link

import (
	"fmt"
	"io"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// End is the sealed set of ways in which a connection ends without this process: PeerClosed and KernelEnded.
type End interface {
	isEnd()
	// Cause names the end in metrics and logs.
	Cause() string
}

// PeerClosed means that the peer has sent all that it had to send and closed the connection.
type PeerClosed struct{}

// KernelEnded means that the kernel has ended the connection with an error.
type KernelEnded struct {
	cause string
}

func (PeerClosed) isEnd()  {}
func (KernelEnded) isEnd() {}

// Cause returns "closed".
func (PeerClosed) Cause() string { return "closed" }

// Cause returns the name of the kernel's error.
func (k KernelEnded) Cause() string { return k.cause }

// kernelEnds are the errors with which the kernel ends a connection: the peer has reset it, or the peer or its path has
// not answered in time.
var kernelEnds = map[syscall.Errno]KernelEnded{
	syscall.ECONNRESET:   {"reset"},
	syscall.EPIPE:        {"broken-pipe"},
	syscall.ETIMEDOUT:    {"timeout"},
	syscall.EHOSTUNREACH: {"unreachable"},
	syscall.ENETUNREACH:  {"unreachable"},
}

// EndOf returns the end of a connection that the error of a read or write shows, or nil if it shows none.
func EndOf(err error) End {
	if err == io.EOF {
		return PeerClosed{}
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if end, ok := kernelEnds[errno]; ok {
			return end
		}
	}
	return nil
}

// EndCounts counts the ends of connections by their cause.
type EndCounts map[End]*metrics.Counter

// NewEndCounts returns the counts of a metric.
func NewEndCounts(set *metrics.Set, metric string) EndCounts {
	counts := make(EndCounts)
	add := func(e End) { counts[e] = set.GetOrCreateCounter(fmt.Sprintf("%s{cause=%q}", metric, e.Cause())) }
	add(PeerClosed{})
	for _, end := range kernelEnds {
		add(end)
	}
	return counts
}

// Count adds an end.
func (c EndCounts) Count(e End) {
	c[e].Inc()
}
