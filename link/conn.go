package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trackedConn is a client connection that counts what was written and that one exchange at a time holds.
//
// The transport takes a connection back as soon as an answer's last byte is read, which for an answer without a
// body is before anyone has looked at it. The next exchange therefore waits in acquire until the one before
// has released the connection, and finds it closed if the exchange before ended oddly.
type trackedConn struct {
	net.Conn
	held sync.Mutex

	mu       sync.Mutex // held over each write
	written  int64      // bytes
	holds    bool       // the end of the next request's head is held back for a moment
	withheld bool       // it was not sent
	closed   atomic.Bool
}

// holdBack is how long the end of a request's head is held back: a few round trips to a backend server beside the instance.
const holdBack = 400 * time.Microsecond

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// dialTracked wraps the connections of a network.
func dialTracked(n Network) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := n.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}

// tracked finds the tracked connection under c.
func tracked(c net.Conn) *trackedConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	t, _ := c.(*trackedConn)
	return t
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := bytes.Index(p, endOfHead)
	if !c.holds || end < 0 {
		n, err := c.Conn.Write(p)
		c.written += int64(n)
		return n, err
	}
	return c.writeHeldBack(p, end+len(endOfHead)-1)
}

// endOfHead ends the head of a request.
var endOfHead = []byte("\r\n\r\n")

// writeHeldBack writes what comes before last, and the rest a moment later unless the connection has broken meanwhile: a
// server that can't see the end of a request's head has not run it. The caller holds the lock.
func (c *trackedConn) writeHeldBack(p []byte, last int) (int, error) {
	c.holds, c.withheld = false, true
	n, err := c.Conn.Write(p[:last])
	c.written += int64(n)
	if err != nil {
		return n, err
	}
	time.Sleep(holdBack)
	if c.closed.Load() {
		return n, net.ErrClosed
	}
	m, err := c.Conn.Write(p[last:])
	c.withheld = m == 0 // a write that failed whole has sent nothing
	c.written += int64(m)
	return n + m, err
}

// sent tells whether the whole of what was written since from may have arrived.
func (c *trackedConn) sent(from int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written != from && !c.withheld
}

// hold is one exchange's hold of a connection.
type hold struct {
	conn *trackedConn
	from int64 // bytes written before the exchange
	once sync.Once
}

// acquire waits until no other exchange holds the connection; with holds, the end of the head is held back.
func (c *trackedConn) acquire(holds bool) *hold {
	c.held.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds, c.withheld = holds, false
	return &hold{conn: c, from: c.written}
}

// release lets the next exchange use the connection.
func (h *hold) release() {
	h.once.Do(h.conn.held.Unlock)
}

// discard closes the connection for good.
func (h *hold) discard() {
	h.once.Do(func() {
		_ = h.conn.Close()
		h.conn.held.Unlock()
	})
}

// abort closes the connection and tells whether the other side may have got the exchange's request. A write under way
// ends by the closing, and none can follow, so the answer stays true.
func (h *hold) abort() (wrote bool) {
	_ = h.conn.Close()
	wrote = h.conn.sent(h.from)
	h.discard()
	return wrote
}
