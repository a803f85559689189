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
	idleTimeout       = 20 * time.Second // idleTimeout is the time after which an unused connection is closed.
	handshakeTimeout  = 2 * time.Second
	defaultTimeout    = 2 * time.Second // defaultTimeout limits requests whose context has no deadline.
	packetHeaderBytes = 28              // packetHeaderBytes is the size of the IPv4 and UDP headers of a packet.
	maxStreamsPerConn = 256             // maxStreamsPerConn limits the concurrent requests of one peer.
)

// ErrRefused is returned when the other end rejected the request with wire.Failure.
var ErrRefused = errors.New("peer refused the message")

// QUIC is a Client over QUIC that also serves the requests of other instances.
type QUIC struct {
	transport     *quic.Transport
	listener      *quic.Listener
	tls           *tls.Config
	quicConfig    *quic.Config
	handler       Handler
	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter

	mu              sync.Mutex
	connByAddress   map[string]*quic.Conn // connByAddress maps peer addresses to the connections dialled to them.
	openConns       map[*quic.Conn]bool   // openConns holds dialled and accepted connections.
	dialGroup       singleflight.Group
	closedWireBytes int // closedWireBytes sums up the bytes on the wire of connections that have closed.
	goroutines      sync.WaitGroup
	cancel          context.CancelFunc
	done            chan struct{}
}

var _ Client = (*QUIC)(nil)

// NewQUIC listens on a UDP address and serves requests with the handler until Close.
func NewQUIC(address string, secret []byte, handler Handler, set *metrics.Set) (*QUIC, error) {
	tlsConfig, err := fleetTLS(secret)
	if err != nil {
		return nil, err
	}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	q := &QUIC{
		transport: &quic.Transport{Conn: socket},
		tls:       tlsConfig,
		quicConfig: &quic.Config{
			MaxIdleTimeout:        idleTimeout,
			HandshakeIdleTimeout:  handshakeTimeout,
			MaxIncomingStreams:    maxStreamsPerConn,
			MaxIncomingUniStreams: -1,
		},
		handler:       handler,
		sentBytes:     set.GetOrCreateCounter("bramleywharf_peer_sent_bytes_total"),
		receivedBytes: set.GetOrCreateCounter("bramleywharf_peer_received_bytes_total"),
		connByAddress: make(map[string]*quic.Conn),
		openConns:     make(map[*quic.Conn]bool),
		done:          make(chan struct{}),
	}
	set.NewGauge("bramleywharf_peer_wire_bytes", func() float64 { return float64(q.wireBytes()) })
	set.NewGauge("bramleywharf_peer_connections", func() float64 { return float64(q.connectionCount()) })
	q.listener, err = q.transport.Listen(tlsConfig, q.quicConfig)
	if err != nil {
		return nil, fmt.Errorf("listen for QUIC connections: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	q.cancel = cancel
	go func() {
		defer close(q.done)
		q.accept(ctx)
		q.goroutines.Wait()
	}()
	return q, nil
}

// Address returns the UDP address on which it listens.
func (q *QUIC) Address() string {
	return q.listener.Addr().String()
}

// Call sends a request to a peer address and returns the response.
func (q *QUIC) Call(ctx context.Context, address string, m wire.Message) (wire.Message, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
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
	response, err := q.roundTrip(ctx, conn, raw)
	if err != nil {
		q.discard(address, conn)
		return nil, fmt.Errorf("ask peer %s: %w", address, err)
	}
	if f, failed := response.(wire.Failure); failed {
		return nil, fmt.Errorf("%w: %s", ErrRefused, f.Reason)
	}
	return response, nil
}

// Close stops serving, waits for the handlers and closes all connections.
func (q *QUIC) Close() {
	q.cancel()
	_ = q.listener.Close()
	q.mu.Lock()
	for address, conn := range q.connByAddress {
		_ = conn.CloseWithError(0, "closing")
		delete(q.connByAddress, address)
	}
	q.mu.Unlock()
	<-q.done
	_ = q.transport.Close()
	_ = q.transport.Conn.Close()
}

// Done returns a channel that closes when the last handler has returned after Close.
func (q *QUIC) Done() <-chan struct{} {
	return q.done
}

// accept serves incoming connections until the context ends or the listener closes.
func (q *QUIC) accept(ctx context.Context) {
	for {
		conn, err := q.listener.Accept(ctx)
		if err != nil {
			return
		}
		q.trackConn(conn)
		q.goroutines.Go(func() { q.serveConn(ctx, conn) })
	}
}

// handleStream reads the one request of a stream and writes the response.
func (q *QUIC) handleStream(ctx context.Context, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(30 * time.Second))
	m, err := q.readMessage(stream)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	raw, err := wire.Encode(q.handler(ctx, m))
	if err != nil {
		return
	}
	q.sentBytes.Add(len(raw))
	_, _ = stream.Write(raw)
}

// connect returns the open connection to a peer address, or dials one; concurrent calls share one dial.
func (q *QUIC) connect(ctx context.Context, address string) (*quic.Conn, error) {
	q.mu.Lock()
	conn, ok := q.connByAddress[address]
	q.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	dialResult := q.dialGroup.DoChan(address, func() (any, error) { return q.dial(address) })
	select {
	case result := <-dialResult:
		conn, _ := result.Val.(*quic.Conn)
		return conn, result.Err
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to peer %s: %w", address, ctx.Err())
	}
}

// dial opens a connection to a peer address and keeps it for reuse.
func (q *QUIC) dial(address string) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer %s: %w", address, err)
	}
	conn, err := q.transport.Dial(ctx, udpAddress, q.tls, q.quicConfig)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	q.trackConn(conn)
	q.mu.Lock()
	q.connByAddress[address] = conn
	q.mu.Unlock()
	return conn, nil
}

// connectionCount returns the number of open connections.
func (q *QUIC) connectionCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.openConns)
}

// roundTrip sends an encoded request on a new stream and reads the response.
func (q *QUIC) roundTrip(ctx context.Context, conn *quic.Conn, raw []byte) (wire.Message, error) {
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
	q.sentBytes.Add(len(raw))
	if err := stream.Close(); err != nil {
		return nil, fmt.Errorf("close sending side: %w", err)
	}
	return q.readMessage(stream)
}

// discard closes a connection that failed, so that the next request dials a new one.
func (q *QUIC) discard(address string, conn *quic.Conn) {
	q.mu.Lock()
	if q.connByAddress[address] == conn {
		delete(q.connByAddress, address)
	}
	q.mu.Unlock()
	_ = conn.CloseWithError(0, "failed")
}

// readMessage reads a stream to its end and decodes its one message.
func (q *QUIC) readMessage(r io.Reader) (wire.Message, error) {
	raw, err := io.ReadAll(io.LimitReader(r, wire.MaxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	q.receivedBytes.Add(len(raw))
	return wire.Decode(raw)
}

// serveConn serves the streams of one connection until it closes.
func (q *QUIC) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(0, "closing") }()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		q.goroutines.Go(func() { q.handleStream(ctx, stream) })
	}
}

// trackConn includes a connection in the metrics, and removes it from the maps when it closes.
func (q *QUIC) trackConn(conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.openConns[conn] = true
	context.AfterFunc(conn.Context(), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.openConns, conn)
		for address, known := range q.connByAddress {
			if known == conn {
				delete(q.connByAddress, address)
			}
		}
		q.closedWireBytes += wireBytes(conn)
	})
}

// wireBytes returns the bytes that all connections have sent and received, including IP and UDP headers.
func (q *QUIC) wireBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := q.closedWireBytes
	for conn := range q.openConns {
		sum += wireBytes(conn)
	}
	return sum
}

// wireBytes returns the bytes that one connection has sent and received, including IP and UDP headers.
func wireBytes(conn *quic.Conn) int {
	s := conn.ConnectionStats()
	packets := s.PacketsSent + s.PacketsReceived
	return int(s.BytesSent+s.BytesReceived) + packetHeaderBytes*int(packets)
}
