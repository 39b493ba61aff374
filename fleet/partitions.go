package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"amaranthstile/link"
)

// Partitions are one-way network partitions between the instances of a fleet. While a direction is blocked, datagrams
// from the one instance to the other are lost, and data on connections is delayed until the direction is open again.
type Partitions struct {
	mu                sync.Mutex
	blocked           map[direction]bool
	instanceByAddress map[string]int // index of the instance, by address
	// changed is closed and replaced on every change of a direction.
	changed chan struct{}
}

// direction is a pair of instances, by their indexes in the fleet.
type direction struct{ from, to int }

func newPartitions() *Partitions {
	return &Partitions{
		blocked:           make(map[direction]bool),
		instanceByAddress: make(map[string]int),
		changed:           make(chan struct{}),
	}
}

// Set blocks or opens the direction from instance from to instance to.
func (p *Partitions) Set(from, to int, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[direction{from, to}] = blocked
	close(p.changed)
	p.changed = make(chan struct{})
}

// Isolate blocks or opens both directions between one instance and the others of n instances, numbered from 0.
func (p *Partitions) Isolate(one, n int, blocked bool) {
	for other := range n {
		if other != one {
			p.Set(one, other, blocked)
			p.Set(other, one, blocked)
		}
	}
}

// register records the addresses of instance n.
func (p *Partitions) register(n int, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		p.instanceByAddress[a] = n
	}
}

// isBlocked reports whether a direction is blocked. The returned channel is closed at the next change of any direction.
func (p *Partitions) isBlocked(from, to int) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked[direction{from, to}], p.changed
}

// index returns the index of the instance that listens on an address, and whether there is one.
func (p *Partitions) index(address string) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.instanceByAddress[address]
	return n, ok
}

// waitUntilOpen waits until a direction is open or done is closed. In the second case it returns net.ErrClosed.
func (p *Partitions) waitUntilOpen(from, to int, done <-chan struct{}) error {
	for {
		blocked, changed := p.isBlocked(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

// partitionedNetwork is the network of one instance, subject to the partitions.
type partitionedNetwork struct {
	partitions *Partitions
	from       int
}

// DialContext implements link.Network.
func (n partitionedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, known := n.partitions.index(address)
	if known {
		if err := n.partitions.waitUntilOpen(n.from, to, ctx.Done()); err != nil {
			return nil, err
		}
		if err := n.partitions.waitUntilOpen(to, n.from, ctx.Done()); err != nil {
			return nil, err
		}
	}
	c, err := link.SystemNetwork{}.DialContext(ctx, network, address)
	if err != nil || !known {
		return c, err
	}
	return &partitionedConn{Conn: c, partitions: n.partitions, from: n.from, to: to, closed: make(chan struct{})}, nil
}

// ListenPacket implements link.Network.
func (n partitionedNetwork) ListenPacket(network, address string) (net.PacketConn, error) {
	p, err := link.SystemNetwork{}.ListenPacket(network, address)
	return partitionedPacketConn{PacketConn: p, network: n}, err
}

// partitionedConn is a connection to another instance, subject to the partitions.
type partitionedConn struct {
	net.Conn
	partitions *Partitions
	from, to   int

	once      sync.Once
	closed    chan struct{}
	deadlines sync.Map // time.Time by operation, "read" or "write"
}

// Write implements io.Writer.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if err := c.waitUntilOpen(c.from, c.to, "write"); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *partitionedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitUntilOpen(c.to, c.from, "read"); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// waitUntilOpen waits while a direction is blocked, at most until the deadline of the operation.
func (c *partitionedConn) waitUntilOpen(from, to int, operation string) error {
	done := c.closed
	if v, ok := c.deadlines.Load(operation); ok && !v.(time.Time).IsZero() {
		ctx, cancel := context.WithDeadline(context.Background(), v.(time.Time))
		defer cancel()
		closedOrExpired := make(chan struct{})
		go func() {
			defer close(closedOrExpired)
			select {
			case <-ctx.Done():
			case <-c.closed:
			}
		}()
		done = closedOrExpired
	}
	return c.partitions.waitUntilOpen(from, to, done)
}

// SetDeadline implements net.Conn.
func (c *partitionedConn) SetDeadline(t time.Time) error {
	c.deadlines.Store("read", t)
	c.deadlines.Store("write", t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.deadlines.Store("read", t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *partitionedConn) SetWriteDeadline(t time.Time) error {
	c.deadlines.Store("write", t)
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// partitionedPacketConn is a datagram socket, subject to the partitions. Datagrams in a blocked direction are lost.
type partitionedPacketConn struct {
	net.PacketConn
	network partitionedNetwork
}

// WriteTo implements net.PacketConn.
func (p partitionedPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if n, known := p.network.partitions.index(to.String()); known {
		if blocked, _ := p.network.partitions.isBlocked(p.network.from, n); blocked {
			return len(data), nil
		}
	}
	return p.PacketConn.WriteTo(data, to)
}
