package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/membership"
)

const deadline = 2 * time.Second

func newTracker(self membership.ID, domain string) *Tracker {
	return NewTracker(Options{Self: self, Domain: domain, Protocol: 3, Rand: rand.New(rand.NewPCG(1, 1))})
}

// TestReadingThatWasHeldUpProvesNothing guards against an instance that was frozen and passes on, as new, a reading that it had received
// before.
func TestReadingThatWasHeldUpProvesNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	x := newTracker("x", "d")
	x.Start(start)
	r := membership.Reading{At: start.Add(100 * time.Millisecond), Revision: 7}
	is.True(x.Receive(start.Add(3*time.Second), r, 7)) // later than the one known, but old
	is.Equal(x.Last(), start.Add(100*time.Millisecond))
	is.True(x.OverdueAt(deadline).Before(start.Add(3 * time.Second)))
	is.True(!x.Receive(start.Add(3*time.Second), r, 7)) // known
}

// TestReadingFromTheFutureProvesNothing guards against the clock of a reader that was stepped ahead.
func TestReadingFromTheFutureProvesNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	x := newTracker("x", "d")
	x.Start(start)
	now := start.Add(time.Second)
	is.True(!x.Receive(now, membership.Reading{At: now.Add(maxClockSkew + time.Millisecond), Revision: 7}, 7))
	is.True(x.Receive(now, membership.Reading{At: now.Add(maxClockSkew - time.Millisecond), Revision: 7}, 7))
	is.True(!x.Last().After(now))
}

// TestReadingOfALaterVersionCountsOnceItIsInForce guards against taking for fresh what lacks the version that the reader found.
func TestReadingOfALaterVersionCountsOnceItIsInForce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	x := newTracker("x", "d")
	x.Start(start)
	at := start.Add(time.Second)
	is.True(!x.Receive(at, membership.Reading{At: at, Revision: 9}, 7))
	is.Equal(x.Last(), start)
	_, ok := x.TakeAwaited(at, 8)
	is.True(!ok)
	r, ok := x.TakeAwaited(at.Add(50*time.Millisecond), 9)
	is.True(ok)
	is.Equal(r.Revision, uint64(9))
	is.True(x.Last().Sub(at).Abs() < time.Millisecond)
	_, ok = x.TakeAwaited(at, 10)
	is.True(!ok)
}

// TestReadingOfAnEarlierVersionCounts reads a store that came back older than the version in force: nothing newer is there.
func TestReadingOfAnEarlierVersionCounts(t *testing.T) {
	is := is.New(t)
	x := newTracker("x", "d")
	now := time.Now()
	is.True(x.Receive(now, membership.Reading{At: now, Revision: 3}, 7))
}

// TestFailedReadsBackOff fails reads until one succeeds.
func TestFailedReadsBackOff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := newTracker("x", "d")
	x.Start(now.Add(-Patience(deadline)))
	is.Equal(x.OverdueAt(deadline), now)
	for k := range 100 {
		x.Failed(now, deadline)
		pause := x.OverdueAt(deadline).Sub(now)
		is.True(pause >= Patience(deadline)/4 && pause <= deadline)
		is.True(k < 4 || pause >= deadline/2)
		now = now.Add(pause)
	}
	x.Succeeded(now)
	is.Equal(x.OverdueAt(deadline), now.Add(Patience(deadline)))
}

// TestOwnReadsAreApart lets all turns fall to one instance that hears of no other's reading.
func TestOwnReadsAreApart(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	x := newTracker("x", "d")
	x.Start(start)
	var last time.Time
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		if !x.BeginTurn(now, deadline) && !x.BeginOverdue(now, deadline) {
			continue
		}
		is.True(!x.BeginTurn(now, deadline) && !x.BeginOverdue(now, deadline)) // one is in flight
		is.True(now.Sub(last) >= Patience(deadline))
		is.True(last.IsZero() || now.Sub(last) <= Patience(deadline)+100*time.Millisecond)
		last = now
		x.Succeeded(now)
	}
}

// newFleet returns a view of n instances in some failure domains. The first ones lack the protocol.
func newFleet(n, domains, withoutProtocol int) *membership.Directory {
	records := make(map[membership.ID]*membership.Record, n)
	for k := range n {
		r := &membership.Record{ID: membership.ID(fmt.Sprintf("%04d", k*7919%10000)), Domain: fmt.Sprint("d", k%domains), Protocols: [2]uint8{1, 3}}
		r.Control = control(r.ID)
		if k < withoutProtocol {
			r.Protocols[1] = 2
		}
		records[r.ID] = r
	}
	return membership.NewDirectory(records)
}

// TestReadingReachesEachInstanceOnce follows readings along the tree.
func TestReadingReachesEachInstanceOnce(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 17, 38, 352, 2800} {
		for _, domains := range []int{1, 4, 15} {
			d := newFleet(n, domains, 0)
			for id, record := range d.Records() {
				received, hops, widest := spread(d, record, nil)
				is.Equal(len(received), n-1)
				is.Equal(received[id], 0)
				for _, count := range received {
					is.Equal(count, 1)
				}
				is.True(hops <= 5)
				is.True(widest <= fanOut+domains)
				if n > 352 {
					break // one reader
				}
			}
		}
	}
}

// TestReadingPassesBySuspectedAndOldInstances suspects instances and mixes in some of an earlier version: the others are all reached, and no
// suspected instance has to pass the reading on to them.
func TestReadingPassesBySuspectedAndOldInstances(t *testing.T) {
	is := is.New(t)
	const n, old = 400, 100
	d := newFleet(n, 4, old)
	suspected := make(map[membership.ID]bool)
	for id, r := range d.Records() {
		if r.Protocols[1] == 3 && len(suspected) < 30 {
			suspected[id] = true
		}
	}
	for id, record := range d.Records() {
		if suspected[id] || record.Protocols[1] < 3 {
			continue
		}
		received, _, _ := spread(d, record, suspected)
		for other, r := range d.Records() {
			is.True(r.Protocols[1] == 3 || received[other] == 0)
			if r.Protocols[1] == 3 && !suspected[other] && other != id && received[other] != 1 {
				t.Error(other, r.Domain, received[other])
			}
		}
		return
	}
}
