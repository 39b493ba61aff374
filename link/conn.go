package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/internal/httpclient"
)

// trackedConn is a client connection that counts the bytes written and is reserved by one exchange at a time.
//
// http.Transport returns a connection to its pool as soon as the last byte of a response has been read. If the
// response has no body, that happens before the response is checked. The next exchange on the connection therefore
// waits in acquire until the previous exchange has released it, and finds the connection closed if the previous
// exchange did not end cleanly.
type trackedConn struct {
	*httpclient.Conn
	exchangeMu sync.Mutex // held by the exchange that has the connection reserved

	mu            sync.Mutex // held during each write
	bytesWritten  int64
	delayHeadEnd  bool // delay the end of the next request head by headEndDelay
	headEndUnsent bool // the delayed end was not sent
	closed        atomic.Bool
}

// headEndDelay is the time by which the end of a request head is delayed: a few round trips to a backend server
// beside this instance.
const headEndDelay = 400 * time.Microsecond

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// dialTracked returns a dial function that opens tracked connections through n.
func dialTracked(n Network) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := n.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: httpclient.NewConn(c)}, nil
	}
}

// unwrapTracked returns the trackedConn under c, which may be a TLS connection.
func unwrapTracked(c net.Conn) *trackedConn {
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
	end := bytes.Index(p, headTerminator)
	if !c.delayHeadEnd || end < 0 {
		n, err := c.Conn.Write(p)
		c.bytesWritten += int64(n)
		return n, err
	}
	return c.writeWithDelayedEnd(p, end+len(headTerminator)-1)
}

// headTerminator marks the end of a request head.
var headTerminator = []byte("\r\n\r\n")

// writeWithDelayedEnd writes p up to last, and the rest after headEndDelay unless the connection breaks in the
// meantime. A server that has not received the end of the request head has not run the request. The caller must
// hold c.mu.
func (c *trackedConn) writeWithDelayedEnd(p []byte, last int) (int, error) {
	c.delayHeadEnd, c.headEndUnsent = false, true
	n, err := c.Conn.Write(p[:last])
	c.bytesWritten += int64(n)
	if err != nil {
		return n, err
	}
	time.Sleep(headEndDelay)
	if c.closed.Load() {
		return n, net.ErrClosed
	}
	m, err := c.Conn.Write(p[last:])
	c.headEndUnsent = m == 0 // a write of 0 bytes has sent nothing
	c.bytesWritten += int64(m)
	return n + m, err
}

// mayHaveSent reports whether the peer may have received a request that it can run, since bytesWritten was
// startOffset: at least one byte was written and the end of the head is not still withheld.
func (c *trackedConn) mayHaveSent(startOffset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten != startOffset && !c.headEndUnsent
}

// reservation is the exclusive use of a connection by one exchange.
type reservation struct {
	conn        *trackedConn
	startOffset int64 // bytesWritten at the start of the exchange
	once        sync.Once
}

// acquire reserves the connection and waits while another exchange has it reserved. With delayHeadEnd, the end of
// the request head is delayed.
func (c *trackedConn) acquire(delayHeadEnd bool) *reservation {
	c.exchangeMu.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayHeadEnd, c.headEndUnsent = delayHeadEnd, false
	return &reservation{conn: c, startOffset: c.bytesWritten}
}

// release ends the reservation and lets the next exchange use the connection.
func (r *reservation) release() {
	r.once.Do(r.conn.exchangeMu.Unlock)
}

// discard closes the connection and ends the reservation.
func (r *reservation) discard() {
	r.once.Do(func() {
		_ = r.conn.Close()
		r.conn.exchangeMu.Unlock()
	})
}

// abort closes the connection and reports whether the peer may have received the request. Closing ends a write that
// is in progress, and no further write can follow, so the result is final.
func (r *reservation) abort() (wrote bool) {
	_ = r.conn.Close()
	wrote = r.conn.mayHaveSent(r.startOffset)
	r.discard()
	return wrote
}
