package link

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A sound target, or its path, may be silent for two seconds. Unacknowledged bytes are sent again after 0.2, 0.6, 1.4
	// and 3 s, and a lost probe is followed by another a second later; the kernel counts probes in whole seconds.
	targetProbeIdle      = time.Second             // silence of a target before the first TCP keep-alive probe
	targetProbeInterval  = time.Second             // time between two probes of a target
	targetProbeCount     = 3                       // unanswered probes that end a connection to a target
	targetUnacknowledged = 3500 * time.Millisecond // how long bytes sent to a target may stay unacknowledged

	// A caller waits for its answer until its deadline, 25 s and less on the sites and 30 s where it states none, and may
	// meanwhile read nothing or be out of reach. Callers that have left without a word cost no more than their requests.
	callerProbeIdle      = 10 * time.Second // silence of a caller before the first TCP keep-alive probe
	callerProbeInterval  = 5 * time.Second  // time between two probes of a caller
	callerProbeCount     = 4                // unanswered probes that end a connection of a caller
	callerUnacknowledged = 30 * time.Second // how long bytes sent to a caller may stay unacknowledged or its window closed
)

// Bounds are the limits after which the kernel ends a connection whose peer does not answer.
type Bounds struct {
	Probes net.KeepAliveConfig // Probes are sent on a silent connection.
	// Unacknowledged is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged, or the window of the peer closed. It
	// also bounds the probes.
	Unacknowledged time.Duration
}

// TargetBounds returns the bounds for connections to targets and to the store, which are given up soon after they fail.
func TargetBounds() Bounds {
	return Bounds{
		Probes: net.KeepAliveConfig{
			Enable: true, Idle: targetProbeIdle, Interval: targetProbeInterval, Count: targetProbeCount,
		},
		Unacknowledged: targetUnacknowledged,
	}
}

// CallerBounds returns the bounds for connections of callers, which outlast their deadlines.
func CallerBounds() Bounds {
	return Bounds{
		Probes: net.KeepAliveConfig{
			Enable: true, Idle: callerProbeIdle, Interval: callerProbeInterval, Count: callerProbeCount,
		},
		Unacknowledged: callerUnacknowledged,
	}
}

// Dialer returns a dialer of connections with these bounds.
func (b Bounds) Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, KeepAliveConfig: b.Probes, Control: b.control}
}

// Listen listens on a TCP address for connections with these bounds.
func (b Bounds) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: b.Probes, Control: b.control}
	config.SetMultipathTCP(false) // Sockets for MPTCP do not take TCP_USER_TIMEOUT.
	return config.Listen(context.Background(), "tcp", address)
}

// control sets TCP_USER_TIMEOUT on a new socket; accepted connections inherit it. It ignores a failure, since
// connections work without the option; CheckUserTimeout reports one at the start.
func (b Bounds) control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = setUserTimeout(int(fd), b.Unacknowledged) })
}

// CheckUserTimeout returns an error if the kernel does not accept TCP_USER_TIMEOUT; connections then rely on the
// keep-alive probes alone.
func CheckUserTimeout() error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("open a socket: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	return setUserTimeout(fd, targetUnacknowledged)
}

func setUserTimeout(fd int, timeout time.Duration) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
