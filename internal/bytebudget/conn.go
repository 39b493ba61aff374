package bytebudget

import "time"

// Phase is what a connection waits for.
type Phase int

const (
	// Idle is the wait for the first byte of a request.
	Idle Phase = iota
	// Working means that the process, not the client, has to act.
	Working
	// Sending is the wait for bytes that the client sends.
	Sending
	// Receiving is the wait for the client to take bytes of a response.
	Receiving
)

// Conn is one connection of a Budget.
type Conn struct {
	budget *Budget
	end    func()

	// The fields below are guarded by the lock of the budget.
	bytes  int64
	ended  bool // end was called or is about to be
	closed bool
	phase  Phase
	since  time.Time // the beginning of the phase
	// waited is the time for which the client let the process wait in earlier phases of its request, and moved the bytes
	// that it sent or took in it.
	waited time.Duration
	moved  int64
}

// Enter begins a phase after n bytes were sent or taken by the client.
func (c *Conn) Enter(p Phase, n int, now time.Time) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.phase == Sending || c.phase == Receiving {
		c.waited += now.Sub(c.since)
	}
	c.moved += int64(n)
	if p == Idle {
		c.waited, c.moved = 0, 0
	}
	c.phase, c.since = p, now
}

// lag returns how far the client is behind: the time since it last did something, or that by which it is slower than
// expectedRate over its request, whichever is longer. It is 0 if the client does not have to act.
func (c *Conn) lag(now time.Time) time.Duration {
	if c.phase != Sending && c.phase != Receiving {
		return 0
	}
	wait := now.Sub(c.since)
	return max(wait, c.waited+wait-time.Duration(c.moved)*time.Second/expectedRate)
}

// Close removes the connection from the budget. Its leases must be released separately; they take nothing more.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.closed = true
	delete(c.budget.conns, c)
}

// MaxConns returns the number of connections of the budget.
func (c *Conn) MaxConns() int { return c.budget.limits.Conns }

// Lease returns a lease without bytes. The lease of a nil Conn, like a nil lease, takes any number of bytes.
func (c *Conn) Lease() *Lease {
	if c == nil {
		return nil
	}
	return &Lease{budget: c.budget, conn: c}
}

// Lease returns a lease without bytes that belongs to no connection. The lease of a nil Budget takes any number of bytes.
func (b *Budget) Lease() *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b}
}

// Lease is the bytes that one user has taken.
type Lease struct {
	budget *Budget
	conn   *Conn // nil if the lease belongs to none

	// The fields below are guarded by the lock of the budget.
	bytes  int64
	closed bool
}

// Take takes n more bytes and reports whether there are enough. Connections that are far behind are ended for them.
func (l *Lease) Take(n int64, now time.Time) bool {
	return l == nil || n <= 0 || l.budget.take(l, n, now, false)
}

// Force takes n more bytes, also if there are not enough. It is for what can't be refused any more, such as a response.
func (l *Lease) Force(n int64, now time.Time) {
	if l != nil && n > 0 {
		l.budget.take(l, n, now, true)
	}
}

// Release gives all bytes back. The lease can take bytes again.
func (l *Lease) Release() { l.release(false) }

// Close gives all bytes back for good. Later calls of Take fail and those of Force have no effect.
func (l *Lease) Close() { l.release(true) }

func (l *Lease) release(closed bool) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.closed = l.closed || closed
	l.budget.addLocked(l, -l.bytes)
}
