package bytebudget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Limits are the limits of a Budget.
type Limits struct {
	// Bytes is the memory that clients may use.
	Bytes int64
	// Conns is the number of open connections.
	Conns int
}

const (
	// minLag is how far behind a client must be before its connection may be ended in favor of others. Round trips and
	// lost packets delay honest clients by less.
	minLag = 500 * time.Millisecond
	// minIdle is how long a connection must have been idle before it may be ended in favor of a new one.
	minIdle = 100 * time.Millisecond
	// expectedRate is the rate in bytes per second at which a client is not behind. One that keeps sending or reading but
	// is slower falls behind by the difference.
	expectedRate = 64 << 10
)

// Stats are the counters of a Budget.
type Stats struct {
	// Bytes are taken and Conns open at present.
	Bytes int64
	Conns int
	// Ended counts connections that were ended in favor of others, Refused connections and takes that were refused.
	Ended, Refused uint64
}

// Budget is the memory and the connections of one process. It must be created with New.
type Budget struct {
	limits Limits

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// ending are the bytes of ended connections that are not released yet.
	ending int64
	stats  Stats
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// New returns an unused budget.
func New(l Limits) *Budget { return &Budget{limits: l, conns: make(map[*Conn]struct{})} }

// Stats returns a snapshot of the counters.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Conns = len(b.conns)
	return s
}

// Open adds a connection, in the phase Idle. If there are too many, the one that is furthest behind is ended, or else the
// one that has been idle longest; if there is none, the result is nil and the new connection must be closed. The function
// end is called at most once, without a lock; it must end the connection without waiting for it.
func (b *Budget) Open(now time.Time, end func()) *Conn {
	c := &Conn{budget: b, end: end, since: now}
	b.mu.Lock()
	var victim *Conn
	if len(b.conns) >= b.limits.Conns {
		if victim = b.victimForConn(now); victim == nil {
			b.stats.Refused++
			b.mu.Unlock()
			return nil
		}
		b.endLocked(victim)
		delete(b.conns, victim) // its descriptor is free as soon as end has returned
	}
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	if victim != nil {
		victim.end()
	}
	return c
}

// victimForConn returns the connection to end in favor of a new one, or nil.
func (b *Budget) victimForConn(now time.Time) *Conn {
	if late := b.late(now); len(late) > 0 {
		return late[0].conn
	}
	var longest *Conn
	for c := range b.conns {
		if c.phase == Idle && !c.ended && now.Sub(c.since) >= minIdle && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	return longest
}

// lateConn is a connection whose client is behind.
type lateConn struct {
	conn *Conn
	lag  time.Duration
}

// late returns the connections that may be ended, the one that is furthest behind first.
func (b *Budget) late(now time.Time) []lateConn {
	var out []lateConn
	for c := range b.conns {
		if lag := c.lag(now); lag >= minLag && !c.ended {
			out = append(out, lateConn{c, lag})
		}
	}
	slices.SortFunc(out, func(x, y lateConn) int { return cmp.Compare(y.lag, x.lag) })
	return out
}

// endLocked records that a connection is ended. The calling function holds the lock and calls end without it.
func (b *Budget) endLocked(c *Conn) {
	c.ended = true
	b.ending += c.bytes
	b.stats.Ended++
}

// take takes n bytes for a lease. If they are not free, it chooses connections to end until enough bytes will be. It
// reports whether the bytes were taken; with force they are in any case. A closed lease takes nothing.
func (b *Budget) take(lease *Lease, n int64, now time.Time, force bool) bool {
	c := lease.conn
	b.mu.Lock()
	if lease.closed || c != nil && c.closed && !force {
		b.mu.Unlock()
		return false
	}
	short := b.stats.Bytes - b.ending + n - b.limits.Bytes
	var victims []*Conn
	if short > 0 {
		for _, l := range b.late(now) {
			if short <= 0 {
				break
			}
			if l.conn == c {
				continue
			}
			short -= l.conn.bytes
			b.endLocked(l.conn)
			victims = append(victims, l.conn)
		}
	}
	taken := force || short <= 0 // the bytes of ended connections count as free, since they are released at once
	if taken {
		b.addLocked(lease, n)
	} else {
		b.stats.Refused++
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.end()
	}
	return taken
}

// addLocked changes the bytes that a lease has taken. The calling function holds the lock.
func (b *Budget) addLocked(lease *Lease, n int64) {
	lease.bytes += n
	b.stats.Bytes += n
	c := lease.conn
	if c == nil {
		return
	}
	c.bytes += n
	if c.ended {
		b.ending += n
	}
}
