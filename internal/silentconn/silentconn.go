// Package silentconn provides connections for tests that fall silent, as when a device on the network path forgets them:
// what is written is dropped, nothing is received, and neither end gets an error.
package silentconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Switch makes connections fall silent. Connections that are opened later work. The zero value is ready for use.
type Switch struct {
	generation atomic.Int64
}

// Silence makes all open connections fall silent.
func (s *Switch) Silence() { s.generation.Add(1) }

// Listener returns a listener whose connections can fall silent.
func (s *Switch) Listener(l net.Listener) net.Listener { return listener{l, s} }

// Dial returns a dial function whose connections can fall silent.
func (s *Switch) Dial(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return s.wrap(c), nil
	}
}

func (s *Switch) wrap(c net.Conn) net.Conn {
	return &conn{Conn: c, owner: s, opened: s.generation.Load(), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	owner *Switch
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.wrap(c), nil
}

// conn is a connection that can fall silent.
type conn struct {
	net.Conn
	owner     *Switch
	opened    int64 // generation
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *conn) silent() bool { return c.owner.generation.Load() != c.opened }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
