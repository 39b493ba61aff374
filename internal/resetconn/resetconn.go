// Package resetconn provides connections for tests on which a write learns of a reset before any read does. The kernel reports
// a reset only once, so that reads then end as if the peer had closed the connection.
package resetconn

import (
	"context"
	"net"
	"sync"
)

// Dial returns a dial function for such connections. Reads wait until a write has failed, and that write returns after a read
// has reached the end of what the peer sent.
func Dial(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, failed: make(chan struct{}), ended: make(chan struct{})}, nil
	}
}

// conn is such a connection.
type conn struct {
	net.Conn
	failOnce, endOnce sync.Once
	failed            chan struct{} // closed after a write failed
	ended             chan struct{} // closed after a read failed
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { close(c.failed) })
		<-c.ended
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	<-c.failed
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.failOnce.Do(func() { close(c.failed) })
	c.endOnce.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
