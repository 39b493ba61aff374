package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// methodEvacuations exchanges what two instances know of evacuations.
const methodEvacuations link.Method = "evacuations.exchange"

const (
	// exchangeTimeout bounds one exchange with another instance.
	exchangeTimeout = 400 * time.Millisecond
	// spreadRounds, spreadFanOut and spreadPause determine how news spread: an instance that learns that the evacuated
	// domains have changed tells spreadFanOut others, chosen at random, in each of spreadRounds rounds. With 9 exchanges
	// for each instance, one in about 8,000 is told by none of the others.
	spreadRounds = 3
	spreadFanOut = 3
	spreadPause  = 150 * time.Millisecond
	// exchangesPerDeadline is how often an instance exchanges with another one, within the time in which an evacuation has
	// to be in force, in case that it missed the news and can't read the store.
	exchangesPerDeadline = 4
	// partners is how many instances are partners of one in these exchanges, in its own failure domain and in the whole
	// fleet each, so that few connections are needed.
	partners = 2
	// loadGrace is how long, after the first instance has responded to a starting one, the others may take.
	loadGrace = 100 * time.Millisecond
	// previousVersionWait is how long a starting instance waits for the store if it reaches only instances of a version
	// without evacuations.
	previousVersionWait = 3 * time.Second
)

// awaitEnabled returns when the part is enabled, and reports whether it is; it is not if ctx ends before.
func (e *evacuations) awaitEnabled(ctx context.Context) bool {
	for ctx.Err() == nil && e.deadline() <= 0 {
		wait.Sleep(ctx, failOpenInterval)
	}
	return ctx.Err() == nil
}

// load returns once it is known which failure domains are evacuated, at the latest when ctx ends. It reads the store, which
// may have come back from an older copy, and asks the other instances, which may be cut off from it.
func (e *evacuations) load(ctx context.Context, others []netip.AddrPort) {
	if e.deadline() <= 0 {
		return
	}
	defer e.loaded.Store(true)
	backoff := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	begun := time.Now()
	for ctx.Err() == nil {
		read := make(chan bool, 1)
		go func() {
			ok, _ := e.readStore(ctx)
			read <- ok
		}()
		known, previousVersion := e.askOthers(ctx, others)
		if <-read || known {
			return
		}
		if previousVersion && time.Since(begun) > previousVersionWait {
			return
		}
		backoff.Wait(ctx)
		others = e.randomOthers(maxPeersAsked)
	}
}

// askOthers exchanges with other instances at the same time. It reports whether one of them knew of evacuations, and
// whether one is of a version without them.
func (e *evacuations) askOthers(ctx context.Context, others []netip.AddrPort) (known, previousVersion bool) {
	type response struct {
		known bool
		err   error
	}
	responses := make(chan response, len(others))
	for _, to := range others {
		go func() {
			known, err := e.exchange(ctx, to)
			responses <- response{known, err}
		}()
	}
	var grace <-chan time.Time
	for range others {
		select {
		case r := <-responses:
			previousVersion = previousVersion || result.Is(r.err, result.LinkVersion)
			known = known || r.known
			if r.known && grace == nil {
				grace = time.After(loadGrace)
			}
		case <-grace:
			return known, previousVersion
		}
	}
	return known, previousVersion
}

// watch watches the store while this instance is a watcher of its failure domain, until ctx ends.
func (e *evacuations) watch(ctx context.Context) {
	backoff := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	var view *membership.Directory
	watcher := false
	for e.awaitEnabled(ctx) {
		if d := e.members.Directory(); d != view {
			view, watcher = d, e.isWatcher()
		}
		if !watcher {
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		if e.watchStore(ctx) {
			backoff.Reset()
			continue
		}
		backoff.Wait(ctx)
		e.readStore(ctx)
	}
}

// pollStore reads the store in the turns that fall to this instance, until ctx ends.
func (e *evacuations) pollStore(ctx context.Context) {
	for e.awaitEnabled(ctx) {
		length := turnLength(e.deadline())
		now := time.Now()
		turn := now.UnixNano()/int64(length) + 1
		wait.Sleep(ctx, time.Unix(0, turn*int64(length)).Sub(now))
		if ctx.Err() != nil || pollerOf(e.members.Directory(), turn, e.members.Suspected()) != e.self.ID {
			continue
		}
		if e.readings.beginTurn(e.deadline()) {
			e.poll(ctx)
		}
	}
}

// keepFresh reads the store whenever this instance knows of no recent reading, until ctx ends.
func (e *evacuations) keepFresh(ctx context.Context) {
	e.readings.start()
	for e.awaitEnabled(ctx) {
		if e.readings.awaitOverdue(ctx, e.deadline()) {
			e.poll(ctx)
		}
	}
}

// poll reads the store once and spreads the reading. If it brings a change, the watches have missed it, and this
// instance's own begins anew.
func (e *evacuations) poll(ctx context.Context) {
	requestedAt := time.Now()
	ok, changed := e.readStore(ctx)
	if !ok {
		e.readings.failed(e.deadline())
		return
	}
	e.readings.spread(requestedAt, e.stateHash())
	if changed {
		e.event.Log(event.WatchSilent, event.F("evacuated", *e.evacuated.Load()))
		if cancel := e.cancelWatch.Load(); cancel != nil {
			(*cancel)()
		}
	}
}

// stateHash returns a hash of which failure domains are evacuated, as far as this instance knows. It is never 0.
func (e *evacuations) stateHash() uint64 {
	return xxhash.Sum64String(strings.Join(*e.evacuated.Load(), "\x00")) | 1
}

// receiveReading records a reading of another instance and returns where to pass it on. If that one knows of other
// evacuations, the reading has to wait for an exchange; see followReadings.
func (e *evacuations) receiveReading(r membership.ReadingReceived, suspected map[membership.ID]bool) []membership.ReadingTo {
	if e.deadline() <= 0 {
		return nil
	}
	if r.Reading.StateHash != e.stateHash() {
		select {
		case e.differing <- r:
		default:
		}
		return nil
	}
	r.Reading.Revision = 0 // that of the configuration
	return e.readings.receive(r.Reading, suspected)
}

// followReadings exchanges with instances that know of other evacuations, until ctx ends.
func (e *evacuations) followReadings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-e.differing:
			if _, err := e.exchange(ctx, r.Sender); err != nil || r.Reading.StateHash != e.stateHash() {
				continue // a failure is counted, and the reading proves nothing
			}
			e.members.SendReadings(func(suspected map[membership.ID]bool) []membership.ReadingTo {
				return e.receiveReading(r, suspected)
			})
		}
	}
}

// spread tells other instances when the evacuated domains have changed, until ctx ends.
func (e *evacuations) spread(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.news:
		}
		if e.deadline() <= 0 {
			continue
		}
		for range spreadRounds {
			for _, to := range e.randomOthers(spreadFanOut) {
				go func() { _, _ = e.exchange(ctx, to) }() // counted; the others are told in other rounds
			}
			wait.Sleep(ctx, spreadPause)
		}
	}
}

// keepInTouch exchanges with partners now and then, until ctx ends.
func (e *evacuations) keepInTouch(ctx context.Context) {
	view := &partnerView{}
	for n := 0; e.awaitEnabled(ctx); n++ {
		interval := e.deadline() / exchangesPerDeadline
		wait.Sleep(ctx, interval*3/4+rand.N(interval/2))
		if ctx.Err() == nil {
			e.exchangeWithPartner(ctx, n, view)
		}
	}
}

// exchangeWithPartner exchanges with a partner, alternately in the whole fleet and in the own failure domain, and with
// another one if that fails.
func (e *evacuations) exchangeWithPartner(ctx context.Context, n int, p *partnerView) {
	p.update(e.members.Directory(), e.self)
	for k := range p.lists {
		list := p.lists[(n+k)%len(p.lists)]
		if len(list) == 0 {
			continue
		}
		if _, err := e.exchange(ctx, list[(n/len(p.lists))%len(list)]); err == nil || result.Is(err, result.LinkVersion) {
			return
		}
	}
}

// partnerView holds the control addresses of the partners in one view of the fleet.
type partnerView struct {
	directory *membership.Directory
	lists     [2][]netip.AddrPort // in the whole fleet, and in the own failure domain
}

// update chooses the partners anew if the view has changed. Each instance has its own, chosen by rendezvous hashing.
func (p *partnerView) update(d *membership.Directory, self membership.Record) {
	if p.directory == d {
		return
	}
	purpose := "evacuation-partner\x00" + string(self.ID)
	skip := map[membership.ID]bool{self.ID: true, "": true}
	var far []membership.ID
	for range partners {
		id := d.SelectInstance(purpose, skip)
		skip[id] = true
		far = append(far, id)
	}
	near := d.SelectInstances(self.Domain, purpose, partners+1)
	p.directory = d
	for k, ids := range [][]membership.ID{far, near} {
		p.lists[k] = nil
		for _, id := range ids {
			if r, ok := d.Record(id); ok && id != self.ID {
				p.lists[k] = append(p.lists[k], r.Control)
			}
		}
	}
}

// randomOthers returns the control addresses of up to n other instances, chosen at random.
func (e *evacuations) randomOthers(n int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range e.members.All() {
		if r.ID != e.self.ID {
			out = append(out, r.Control)
		}
	}
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out[:min(n, len(out))]
}
