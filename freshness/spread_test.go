package freshness

import (
	"net/netip"
	"strconv"
	"time"

	"amaranthstile/membership"
)

// control returns the address of the instance with a numeric ID.
func control(id membership.ID) netip.AddrPort {
	n, err := strconv.Atoi(string(id))
	if err != nil {
		panic(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// spread passes a reading on until it ends. Suspected instances do not pass it on. It returns how often each instance has received it, over
// how many hops, and to how many instances one has sent it at most.
func spread(
	d *membership.Directory, reader *membership.Record, suspected map[membership.ID]bool,
) (received map[membership.ID]int, hops, widest int) {
	at := make(map[netip.AddrPort]*membership.Record)
	for _, r := range d.Records() {
		at[r.Control] = r
	}
	received = make(map[membership.ID]int)
	now := time.Now()
	sent := newTracker(reader.ID, reader.Domain).Spread(membership.Reading{At: now, Revision: 1}, d, suspected)
	widest = len(sent)
	for len(sent) > 0 {
		hops++
		var next []membership.ReadingTo
		for _, m := range sent {
			to := at[m.Address]
			received[to.ID]++
			if suspected[to.ID] {
				continue
			}
			x := newTracker(to.ID, to.Domain)
			x.Start(now.Add(-time.Second))
			if x.Receive(now, m.Reading, 1) {
				out := x.PassOn(m.Reading, d, suspected)
				widest = max(widest, len(out))
				next = append(next, out...)
			}
		}
		sent = next
	}
	return received, hops, widest
}
