package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/singleflight"
)

const (
	idleTimeout      = 20 * time.Second // idleTimeout closes connections that carry nothing.
	handshakeTimeout = 2 * time.Second
	askTimeout       = 2 * time.Second // askTimeout bounds questions that come without a deadline of their own.
	headerBytes      = 28              // headerBytes is the length of the IP and UDP headers of a packet.
	maxStreams       = 256             // maxStreams bounds the questions that one peer may have open.
)

// ErrRefused is returned when the other end could not handle a message.
var ErrRefused = errors.New("peer refused the message")

// Quic is a Net over QUIC that also answers the questions of others.
type Quic struct {
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	settings  *quic.Config
	handler   Handler
	sent      *metrics.Counter
	received  *metrics.Counter

	mu    sync.Mutex
	conns map[string]*quic.Conn
	open  map[*quic.Conn]bool
	dials singleflight.Group
	past  int // past counts the bytes on the wire of closed connections.
	group sync.WaitGroup
	stop  context.CancelFunc
	done  chan struct{}
}

var _ Net = (*Quic)(nil)

// NewQuic listens on a UDP address and answers with the handler until Close.
func NewQuic(address string, secret []byte, handler Handler, set *metrics.Set) (*Quic, error) {
	config, err := fleetTLS(secret)
	if err != nil {
		return nil, err
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	q := &Quic{
		transport: &quic.Transport{Conn: socket},
		tls:       config,
		settings: &quic.Config{
			MaxIdleTimeout:        idleTimeout,
			HandshakeIdleTimeout:  handshakeTimeout,
			MaxIncomingStreams:    maxStreams,
			MaxIncomingUniStreams: -1,
		},
		handler:  handler,
		sent:     set.GetOrCreateCounter("bramleywharf_peer_sent_bytes_total"),
		received: set.GetOrCreateCounter("bramleywharf_peer_received_bytes_total"),
		conns:    make(map[string]*quic.Conn),
		open:     make(map[*quic.Conn]bool),
		done:     make(chan struct{}),
	}
	set.NewGauge("bramleywharf_peer_wire_bytes", func() float64 { return float64(q.wireBytes()) })
	set.NewGauge("bramleywharf_peer_connections", func() float64 { return float64(q.connections()) })
	q.listener, err = q.transport.Listen(config, q.settings)
	if err != nil {
		return nil, fmt.Errorf("accept peers: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	q.stop = stop
	go func() {
		defer close(q.done)
		q.accept(ctx)
		q.group.Wait()
	}()
	return q, nil
}

// Address returns the UDP address that is listened on.
func (q *Quic) Address() string {
	return q.listener.Addr().String()
}

// Ask sends a message to a peer address and returns the answer.
func (q *Quic) Ask(ctx context.Context, address string, m wire.Message) (wire.Message, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, askTimeout)
		defer cancel()
	}
	raw, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	conn, err := q.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := q.exchange(ctx, conn, raw)
	if err != nil {
		q.forget(address, conn)
		return nil, fmt.Errorf("ask peer %s: %w", address, err)
	}
	if f, failed := answer.(wire.Failed); failed {
		return nil, fmt.Errorf("%w: %s", ErrRefused, f.Reason)
	}
	return answer, nil
}

// Close stops answering and closes all connections.
func (q *Quic) Close() {
	q.stop()
	_ = q.listener.Close()
	q.mu.Lock()
	for address, conn := range q.conns {
		_ = conn.CloseWithError(0, "closing")
		delete(q.conns, address)
	}
	q.mu.Unlock()
	<-q.done
	_ = q.transport.Close()
	_ = q.transport.Conn.Close()
}

// Done is closed when the last answer has been given after Close.
func (q *Quic) Done() <-chan struct{} {
	return q.done
}

// accept serves incoming connections until the listener closes.
func (q *Quic) accept(ctx context.Context) {
	for {
		conn, err := q.listener.Accept(ctx)
		if err != nil {
			return
		}
		q.track(conn)
		q.group.Go(func() { q.serve(ctx, conn) })
	}
}

// answer handles the one message of a stream.
func (q *Quic) answer(ctx context.Context, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(30 * time.Second))
	m, err := q.read(stream)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	raw, err := wire.Encode(q.handler(ctx, m))
	if err != nil {
		return
	}
	q.sent.Add(len(raw))
	_, _ = stream.Write(raw)
}

// connect returns a connection to a peer address, a kept one if there is one; questions that come at once share one attempt.
func (q *Quic) connect(ctx context.Context, address string) (*quic.Conn, error) {
	q.mu.Lock()
	conn, ok := q.conns[address]
	q.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	dialed := q.dials.DoChan(address, func() (any, error) { return q.dial(address) })
	select {
	case result := <-dialed:
		conn, _ := result.Val.(*quic.Conn)
		return conn, result.Err
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to peer %s: %w", address, ctx.Err())
	}
}

// dial opens a connection to a peer address and keeps it.
func (q *Quic) dial(address string) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer %s: %w", address, err)
	}
	conn, err := q.transport.Dial(ctx, udp, q.tls, q.settings)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	q.track(conn)
	q.mu.Lock()
	q.conns[address] = conn
	q.mu.Unlock()
	return conn, nil
}

// connections returns the number of open connections.
func (q *Quic) connections() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.open)
}

// exchange sends an encoded message on a new stream and reads the answer.
func (q *Quic) exchange(ctx context.Context, conn *quic.Conn, raw []byte) (wire.Message, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(raw); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	q.sent.Add(len(raw))
	if err := stream.Close(); err != nil {
		return nil, fmt.Errorf("end question: %w", err)
	}
	return q.read(stream)
}

// forget closes a connection that failed, so that the next question takes a fresh one.
func (q *Quic) forget(address string, conn *quic.Conn) {
	q.mu.Lock()
	if q.conns[address] == conn {
		delete(q.conns, address)
	}
	q.mu.Unlock()
	_ = conn.CloseWithError(0, "failed")
}

// read returns the one message of a stream.
func (q *Quic) read(r io.Reader) (wire.Message, error) {
	raw, err := io.ReadAll(io.LimitReader(r, wire.MaxSize))
	if err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	q.received.Add(len(raw))
	return wire.Decode(raw)
}

// serve answers the streams of one connection until it closes.
func (q *Quic) serve(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(0, "closing") }()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		q.group.Go(func() { q.answer(ctx, stream) })
	}
}

// track counts the bytes of a connection until it closes.
func (q *Quic) track(conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open[conn] = true
	context.AfterFunc(conn.Context(), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.open, conn)
		for address, kept := range q.conns {
			if kept == conn {
				delete(q.conns, address)
			}
		}
		q.past += wireBytes(conn)
	})
}

// wireBytes returns the bytes that all connections put on the wire in both directions, headers included.
func (q *Quic) wireBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := q.past
	for conn := range q.open {
		sum += wireBytes(conn)
	}
	return sum
}

// wireBytes returns the bytes that one connection put on the wire in both directions, headers included.
func wireBytes(conn *quic.Conn) int {
	s := conn.ConnectionStats()
	packets := s.PacketsSent + s.PacketsReceived
	return int(s.BytesSent+s.BytesReceived) + headerBytes*int(packets)
}
