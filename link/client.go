package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"amaranthstile/result"
)

// ControlClient calls other instances. It keeps one connection to each instance that it called recently.
type ControlClient struct {
	// Traffic counts the messages and bytes sent. It must be set before the first call.
	Traffic *Traffic

	network Network
	config  *tls.Config // nil for plain TCP

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// clientConn is a connection to another instance, or the attempt to open one.
type clientConn struct {
	conn     *jsonrpc2.Conn
	err      error
	opened   chan struct{} // closed when conn or err is set
	calls    atomic.Int64
	checking atomic.Bool
	usedAt   atomic.Int64 // nanoseconds since processStart, by the monotonic clock
}

// processStart is the origin of clientConn.usedAt.
var processStart = time.Now()

func (c *clientConn) markUsed() { c.usedAt.Store(int64(time.Since(processStart))) }

func (c *clientConn) idleTime() time.Duration {
	return time.Since(processStart) - time.Duration(c.usedAt.Load())
}

// NewControlClient returns a client that dials through network. With a nil config, connections are plain TCP.
func NewControlClient(network Network, config *tls.Config) *ControlClient {
	return &ControlClient{Traffic: &Traffic{}, network: network, config: config, conns: make(map[string]*clientConn)}
}

// Call makes one call and decodes the result into out. It takes 10 s at most, or less if ctx has an earlier
// deadline.
//
// The error carries LinkUnreachable if no connection could be opened, LinkRefused if a certificate was rejected,
// LinkVersion if the instances share no protocol version, LinkBusy if too many calls are in flight, and LinkTimeout
// or LinkBroken if no reply arrived. Otherwise it carries the code that the other instance returned.
func (c *ControlClient) Call(ctx context.Context, addr string, m Method, params, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return err
	}
	if conn.calls.Add(1) > maxInFlight {
		conn.calls.Add(-1)
		return result.New(result.LinkBusy, "%d calls are in flight to %s", maxInFlight, addr)
	}
	defer conn.calls.Add(-1)
	conn.markUsed()
	err = conn.conn.Call(ctx, string(m), params, out)
	if err == nil {
		return nil
	}
	err = callError(ctx, err, m, addr)
	switch result.CodeOf(err) {
	case result.LinkBroken:
		c.remove(addr, conn)
	case result.LinkTimeout:
		c.closeIfHalfOpen(addr, conn)
	}
	return err
}

// closeIfHalfOpen pings a connection on which a call timed out, and closes the connection if there is no reply.
func (c *ControlClient) closeIfHalfOpen(addr string, conn *clientConn) {
	if conn.checking.Swap(true) {
		return
	}
	go func() {
		defer conn.checking.Store(false)
		if !ping(conn.conn) {
			c.remove(addr, conn)
		}
	}()
}

// connect returns the connection to addr and opens one if there is none. Calls that arrive while the connection is
// being opened all wait for the same attempt.
func (c *ControlClient) connect(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, result.New(result.LinkUnreachable, "this instance is shutting down")
	}
	conn, ok := c.conns[addr]
	if !ok {
		conn = &clientConn{opened: make(chan struct{})}
		conn.markUsed()
		c.conns[addr] = conn
		go c.open(addr, conn)
	}
	c.mu.Unlock()
	select {
	case <-conn.opened:
		return conn, conn.err
	case <-ctx.Done():
		return nil, result.Wrap(result.LinkUnreachable, ctx.Err(), "no connection to %s", addr)
	}
}

// open dials addr and negotiates a protocol version. A failed attempt is removed, so that the next call makes a new
// one.
func (c *ControlClient) open(addr string, conn *clientConn) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, addr)
	recorder := &readErrorConn{Conn: raw}
	if err == nil {
		conn.conn, err = c.exchangeHello(ctx, recorder, addr)
	}
	if err != nil {
		conn.err = dialError(err, recorder.readError(), addr)
		close(conn.opened)
		c.remove(addr, conn)
		return
	}
	close(conn.opened)
	if c.isClosed() {
		c.remove(addr, conn)
		return
	}
	c.monitor(addr, conn)
}

func (c *ControlClient) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// exchangeHello starts JSON-RPC on a connection and checks that both sides share a protocol version.
func (c *ControlClient) exchangeHello(ctx context.Context, raw net.Conn, addr string) (*jsonrpc2.Conn, error) {
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw, c.Traffic, 0),
		jsonrpc2.HandlerWithError(rejectCall), jsonrpc2.SetLogger(discardLogger{}))
	var peer hello
	err := conn.Call(ctx, string(methodHello), hello{Oldest: ProtocolOldest, Newest: ProtocolNewest}, &peer)
	if err != nil {
		err = callError(ctx, err, methodHello, addr)
	} else {
		err = peer.checkCommonVersion()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// monitor pings the connection at intervals to detect that it is half-open. It closes the connection when a ping
// fails or when the connection has been idle for too long.
func (c *ControlClient) monitor(addr string, conn *clientConn) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	defer c.remove(addr, conn)
	for {
		select {
		case <-conn.conn.DisconnectNotify():
			return
		case <-ticker.C:
			if conn.idleTime() > idleConnLimit || !ping(conn.conn) {
				return
			}
		}
	}
}

func ping(conn *jsonrpc2.Conn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return conn.Call(ctx, string(methodPing), struct{}{}, nil) == nil
}

// rejectCall rejects calls from the server: on a control connection only the client makes calls.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side accepts no calls"}
}

func (c *ControlClient) dial(ctx context.Context, addr string) (net.Conn, error) {
	raw, err := c.network.DialContext(ctx, "tcp", addr)
	if err != nil || c.config == nil {
		return raw, err
	}
	tlsConn := tls.Client(raw, c.config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return tlsConn, nil
}

// remove closes a connection and removes it from the client.
func (c *ControlClient) remove(addr string, conn *clientConn) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	if conn.conn != nil {
		_ = conn.conn.Close()
	}
}

// Close closes all connections and makes further calls fail.
func (c *ControlClient) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = make(map[string]*clientConn)
	c.mu.Unlock()
	for _, conn := range conns {
		select {
		case <-conn.opened:
			if conn.conn != nil {
				_ = conn.conn.Close()
			}
		default: // open closes the connection itself when it finds the client closed
		}
	}
}
