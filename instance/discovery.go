package instance

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// contactsPrefix is followed by the failure domain in the names of the objects that hold contacts.
	contactsPrefix = "contacts/"
	// targetContacts is how many contacts a failure domain keeps in the platform; maxContacts bounds the object.
	targetContacts = 4
	maxContacts    = 8
	// maxOtherDomains bounds from how many other failure domains contacts are read at a time.
	maxOtherDomains = 3
	// joinTimeout bounds how long a starting instance waits to receive the membership from one of its contacts. After
	// that it assumes that none of them runs any more, and starts a fleet of its own.
	joinTimeout = 5 * time.Second
	// One instance of each failure domain maintains the contacts. Its sweeps start at the first interval, which then
	// doubles up to sweepInterval, or up to aloneSweepInterval while the instance knows no other instance.
	firstSweepInterval = 250 * time.Millisecond
	sweepInterval      = time.Minute
	aloneSweepInterval = 10 * time.Second
	// maxContactWrites bounds how often a write is attempted when other instances write the object concurrently.
	maxContactWrites = 3
)

// contact is an instance that others contact when they join.
type contact struct {
	ID      membership.ID  `json:"id"`
	Control netip.AddrPort `json:"control"`
}

// contactList is the stored object with the contacts of one failure domain.
type contactList struct {
	Contacts []contact `json:"contacts"`
}

// discovery finds other instances through the platform and through the peers in the settings. Each failure domain
// keeps a few contacts in one object. The object is written only when its contacts have to change, not periodically
// by each instance.
type discovery struct {
	client  store.Client
	self    contact
	domain  string
	peers   []netip.AddrPort
	members *gossip.Members
	rand    *mathrand.Rand
	listed  bool // whether this instance is in the object, as of its last read or write
	joined  chan struct{}
}

func newDiscovery(client store.Client, m *gossip.Members, self membership.Record, peers []netip.AddrPort) *discovery {
	return &discovery{
		client: client, members: m, domain: self.Domain, peers: peers,
		self: contact{ID: self.ID, Control: self.Control}, rand: gossip.NewRand(),
		joined: make(chan struct{}),
	}
}

func contactsObjectName(domain string) string {
	plain := func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9') {
			return r
		}
		return '-'
	}
	return contactsPrefix + strings.Map(plain, strings.ToLower(domain))
}

// run joins the fleet and then maintains the contacts until ctx ends.
func (d *discovery) run(ctx context.Context) {
	d.members.Join(d.peers)
	d.joinFleet(ctx)
	every := firstSweepInterval
	for ctx.Err() == nil {
		wait.Sleep(ctx, every/2+time.Duration(d.rand.Int64N(int64(every))))
		d.sweep(ctx)
		limit := sweepInterval
		if d.alone() {
			limit = aloneSweepInterval
		}
		every = min(2*every, limit)
	}
}

func (d *discovery) alone() bool { return len(d.members.Directory().Records()) <= 1 }

// joinFleet reads the contacts, joins through them and adds this instance if contacts are missing. The instance has
// joined once it has received the complete membership from another instance, or there is no instance to contact, or
// joinTimeout has passed.
func (d *discovery) joinFleet(ctx context.Context) {
	if d.readContacts(ctx) {
		timer := time.NewTimer(joinTimeout)
		defer timer.Stop()
		select {
		case <-d.members.Synced:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	close(d.joined)
	d.refresh(ctx, false)
}

// readContacts passes the contacts of this failure domain and of a few others to the membership. It reports whether
// it found any.
func (d *discovery) readContacts(ctx context.Context) bool {
	own := contactsObjectName(d.domain)
	names := []string{own}
	objects, err := d.client.List(ctx, contactsPrefix)
	if err != nil {
		return false
	}
	d.rand.Shuffle(len(objects), func(a, b int) { objects[a], objects[b] = objects[b], objects[a] })
	for _, o := range objects {
		if o.Name != own && len(names) <= maxOtherDomains {
			names = append(names, o.Name)
		}
	}
	found := slices.Clone(d.peers)
	for _, name := range names {
		list, _, err := d.read(ctx, name)
		if err != nil {
			continue
		}
		for _, c := range list {
			found = append(found, c.Control)
		}
	}
	d.members.Join(found)
	return len(found) > 0
}

func (d *discovery) read(ctx context.Context, name string) ([]contact, store.Version, error) {
	o, err := d.client.Get(ctx, name)
	if result.Is(err, result.PlatformNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list contactList
	if err := json.Unmarshal(o.Value, &list); err != nil {
		list = contactList{} // an unreadable object is overwritten
	}
	return list.Contacts, o.Version, nil
}

// sweep maintains the contacts if this instance is the one of its failure domain chosen for it. It also synchronizes
// with instances of other failure domains and with peers in the settings that the membership does not contain.
func (d *discovery) sweep(ctx context.Context) {
	if !slices.Contains(d.members.Directory().SelectInstances(d.domain, "contacts", 1), d.self.ID) {
		return
	}
	d.refresh(ctx, true)
	d.syncOtherDomains(ctx)
}

// syncOtherDomains synchronizes with one contact in each of a few failure domains of which this instance knows no
// member. If it knows members of all domains, it synchronizes with a contact of any one domain, since the fleet may
// be partitioned.
func (d *discovery) syncOtherDomains(ctx context.Context) {
	d.syncIfUnknown(d.peers)
	objects, err := d.client.List(ctx, contactsPrefix)
	if err != nil {
		return
	}
	seen := make(map[string]bool)
	for _, r := range d.members.Directory().Records() {
		seen[contactsObjectName(r.Domain)] = true
	}
	unseen := slices.DeleteFunc(slices.Clone(objects), func(o store.Object) bool { return seen[o.Name] })
	if len(unseen) == 0 {
		unseen = objects
	}
	d.rand.Shuffle(len(unseen), func(a, b int) { unseen[a], unseen[b] = unseen[b], unseen[a] })
	for n, o := range unseen {
		if n == maxOtherDomains || (n > 0 && seen[o.Name]) {
			return
		}
		list, _, err := d.read(ctx, o.Name)
		if err != nil {
			continue
		}
		var found []netip.AddrPort
		for _, c := range list {
			found = append(found, c.Control)
		}
		d.syncIfUnknown(found)
	}
}

// syncIfUnknown synchronizes with a random one of the addresses, unless that is the address of a known instance.
func (d *discovery) syncIfUnknown(found []netip.AddrPort) {
	if len(found) == 0 {
		return
	}
	c := found[d.rand.IntN(len(found))]
	for _, r := range d.members.Directory().Records() {
		if r.Control == c {
			return
		}
	}
	d.members.SyncWith(c)
}

// refresh writes the contacts of this failure domain if some are missing or, if complete says that the membership is
// complete, no longer run. A lost reply is harmless, since the next sweep reads the result.
func (d *discovery) refresh(ctx context.Context, complete bool) {
	for range maxContactWrites {
		held, version, err := d.read(ctx, contactsObjectName(d.domain))
		if err != nil {
			return
		}
		next := d.nextContacts(held, complete)
		d.listed = slices.Contains(next, d.self)
		if slices.Equal(next, held) || d.write(ctx, version, next) {
			return
		}
		d.joinThrough(held)
	}
}

// write stores the contacts. It returns false if another instance wrote them concurrently, so that the caller has to
// read them again, and true in all other cases.
func (d *discovery) write(ctx context.Context, before store.Version, next []contact) bool {
	data, err := json.Marshal(contactList{Contacts: next})
	if err != nil {
		return true
	}
	_, err = d.client.Put(ctx, contactsObjectName(d.domain), before, data)
	return !result.Is(err, result.PlatformConflict)
}

// joinThrough joins through the contacts that another instance wrote concurrently.
func (d *discovery) joinThrough(held []contact) {
	found := slices.Clone(d.peers)
	for _, c := range held {
		found = append(found, c.Control)
	}
	d.members.Join(found)
}

// nextContacts returns the contacts that the object should hold. With a complete membership, these are the held ones
// that still run, filled up with other running instances. Otherwise they are the held ones, plus this instance if
// there are too few.
func (d *discovery) nextContacts(held []contact, complete bool) []contact {
	view := d.members.Directory()
	var next []contact
	for _, c := range held {
		r, ok := view.Record(c.ID)
		if !complete || (ok && !r.Leaving) {
			next = append(next, c)
		}
	}
	if !complete {
		if len(next) < targetContacts || d.alone() {
			next = append(next, d.self)
		}
		return next[max(0, len(next)-maxContacts):]
	}
	for _, id := range view.SelectInstances(d.domain, "contacts", targetContacts) {
		c := contact{ID: id}
		if r, ok := view.Record(id); ok {
			c.Control = r.Control
		}
		if len(next) < targetContacts && !slices.Contains(next, c) {
			next = append(next, c)
		}
	}
	return next
}

// removeSelf removes this instance from the contacts at a planned stop.
func (d *discovery) removeSelf(ctx context.Context) {
	if !d.listed {
		return
	}
	held, version, err := d.read(ctx, contactsObjectName(d.domain))
	if err != nil {
		return
	}
	next := slices.DeleteFunc(slices.Clone(held), func(c contact) bool { return c.ID == d.self.ID })
	if !slices.Equal(next, held) {
		d.write(ctx, version, next)
	}
}
