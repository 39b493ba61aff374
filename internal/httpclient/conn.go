package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and returns them as a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Conn is a connection to a server over HTTP/1.1. Its Read returns io.EOF only if the server closed the connection, and an error
// for a malformed field name in the head of a response that was announced by ExpectHead.
//
// The kernel reports a reset once, to the next read or write. If that is a write, the reads that follow return io.EOF, which
// ends a response that has neither a length nor chunks.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held during each write
	writeErr error      // why the connection failed, if a write was told first

	expectHead atomic.Bool // the next byte begins a head
	head       headScanner // accessed only by Read
	headErr    error       // accessed only by Read
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: headScanner{complete: true}} }

// ExpectHead tells a connection that what is received next is the response to a request that is about to be written. It has an
// effect on a Conn and on a type that embeds one, but not on a TLS connection over one.
func ExpectHead(c net.Conn) {
	if c, ok := c.(interface{ expectNextHead() }); ok {
		c.expectNextHead()
	}
}

func (c *Conn) expectNextHead() { c.expectHead.Store(true) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil && isConnectionFailure(err) {
		c.writeErr = err
	}
	return n, err
}

// isConnectionFailure reports whether an error of a write is the kernel's only report that the connection failed. EPIPE is
// not: it follows an earlier report, or a reset behind the regular end of what the server sent.
func isConnectionFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. At the end of the connection, it ends a write that is in progress.
func (c *Conn) Read(p []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p)
	if c.expectHead.Swap(false) {
		c.head = headScanner{}
	}
	if n, c.headErr = c.head.scan(p[:n]); c.headErr != nil {
		return n, c.headErr
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.awaitWriteError(); failure != nil {
		err = failure
	}
	return n, err
}

// awaitWriteError returns the failure that a write was told, or nil. A write that has been told of it may not have returned
// yet, and one to a server that has closed only its own direction may block, so a deadline ends it.
func (c *Conn) awaitWriteError() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}
