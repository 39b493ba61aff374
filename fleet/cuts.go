package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"amaranthstile/link"
)

// Partitions are one-way partitions between the instances of a fleet. What one instance sends another is lost (datagrams) or
// held (connections) while that direction is cut.
type Partitions struct {
	mu      sync.Mutex
	cut     map[direction]bool
	indexOf map[string]int // instance by address
	changed chan struct{}
}

type direction struct{ from, to int }

func newCuts() *Partitions {
	return &Partitions{cut: make(map[direction]bool), indexOf: make(map[string]int), changed: make(chan struct{})}
}

// Set cuts or heals what instance from sends to instance to.
func (c *Partitions) Set(from, to int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[direction{from, to}] = cut
	close(c.changed)
	c.changed = make(chan struct{})
}

// Isolate cuts or heals both directions between one instance and n others, all numbered from 0.
func (c *Partitions) Isolate(one, n int, cut bool) {
	for other := range n {
		if other != one {
			c.Set(one, other, cut)
			c.Set(other, one, cut)
		}
	}
}

// place notes the addresses of an instance.
func (c *Partitions) place(n int, addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		c.indexOf[a] = n
	}
}

// isCut reports whether a direction is cut, and when to look again.
func (c *Partitions) isCut(from, to int) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[direction{from, to}], c.changed
}

func (c *Partitions) index(address string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.indexOf[address]
	return n, ok
}

// hold waits until a direction is open or done is closed.
func (c *Partitions) hold(from, to int, done <-chan struct{}) error {
	for {
		cut, changed := c.isCut(from, to)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

// network is the network as one instance sees it through the cuts.
type network struct {
	cuts *Partitions
	from int
}

// DialContext implements link.Network.
func (n network) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	to, known := n.cuts.index(address)
	if known {
		if err := n.cuts.hold(n.from, to, ctx.Done()); err != nil {
			return nil, err
		}
		if err := n.cuts.hold(to, n.from, ctx.Done()); err != nil {
			return nil, err
		}
	}
	c, err := link.SystemNetwork{}.DialContext(ctx, kind, address)
	if err != nil || !known {
		return c, err
	}
	return &cutConn{Conn: c, cuts: n.cuts, from: n.from, to: to, closed: make(chan struct{})}, nil
}

// ListenPacket implements link.Network.
func (n network) ListenPacket(kind, address string) (net.PacketConn, error) {
	p, err := link.SystemNetwork{}.ListenPacket(kind, address)
	return cutPackets{PacketConn: p, network: n}, err
}

// cutConn is a connection whose directions can be cut.
type cutConn struct {
	net.Conn
	cuts     *Partitions
	from, to int

	once     sync.Once
	closed   chan struct{}
	deadline sync.Map // by direction, a time.Time
}

// Write implements io.Writer.
func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.hold(c.from, c.to, "write"); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.hold(c.to, c.from, "read"); held != nil {
		return 0, held
	}
	return n, err
}

// hold waits while a direction is cut, at most until the deadline that was set for it.
func (c *cutConn) hold(from, to int, kind string) error {
	done := c.closed
	if v, ok := c.deadline.Load(kind); ok && !v.(time.Time).IsZero() {
		ctx, cancel := context.WithDeadline(context.Background(), v.(time.Time))
		defer cancel()
		both := make(chan struct{})
		go func() {
			defer close(both)
			select {
			case <-ctx.Done():
			case <-c.closed:
			}
		}()
		done = both
	}
	return c.cuts.hold(from, to, done)
}

// SetDeadline implements net.Conn.
func (c *cutConn) SetDeadline(t time.Time) error {
	c.deadline.Store("read", t)
	c.deadline.Store("write", t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *cutConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store("read", t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *cutConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store("write", t)
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// cutPackets is a datagram socket whose datagrams can be lost.
type cutPackets struct {
	net.PacketConn
	network network
}

// WriteTo implements net.PacketConn.
func (p cutPackets) WriteTo(data []byte, to net.Addr) (int, error) {
	if n, known := p.network.cuts.index(to.String()); known {
		if cut, _ := p.network.cuts.isCut(p.network.from, n); cut {
			return len(data), nil
		}
	}
	return p.PacketConn.WriteTo(data, to)
}
