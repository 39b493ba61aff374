// Package membership knows the other instances and the endpoints beside them.
//
// Each instance owns one record of itself: its addresses, its failure domain and the endpoints in its slots.
// A record carries a version that grows with every change by its owner; the newer version of a record wins
// everywhere. A Directory is an immutable view of all records, swapped whole, by which requests choose.
package membership

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ID identifies one process of the system; a restarted process has a new one.
type ID string

// EndpointState tells whether an endpoint takes new work.
type EndpointState string

// The states of an endpoint.
const (
	// Active endpoints take work.
	Active EndpointState = "active"
	// Warming endpoints take little work until their cold start is over.
	Warming EndpointState = "warming"
	// Draining endpoints finish what they have and take nothing new.
	Draining EndpointState = "draining"
	// Ejected endpoints fail and take only trial requests.
	Ejected EndpointState = "ejected"
)

// Endpoint is a backend server as other instances see it.
type Endpoint struct {
	Backend string        `json:"backend"`
	Service string        `json:"service"`
	Slots   int           `json:"slots"`
	State   EndpointState `json:"state"`
	// Badness orders ejected endpoints, 1 to 100, the larger the worse; the least bad stay in use when the floor binds.
	Badness int `json:"badness,omitempty"`
	// Trials says that an ejected endpoint takes trial requests now.
	Trials bool `json:"trials,omitempty"`
	// LatencyMicros is the typical time until an answer's head, in microseconds; 0 while unknown.
	LatencyMicros int64 `json:"levelMicros,omitempty"`
	// FailurePermille is the share of failed requests, in thousandths.
	FailurePermille int `json:"failingPermille,omitempty"`
}

// Record is what an instance says of itself.
type Record struct {
	ID      ID     `json:"id"`
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Link takes forwarded requests, Control takes calls between instances.
	Link    netip.AddrPort `json:"link"`
	Control netip.AddrPort `json:"control"`
	// Leaving says that the instance takes no new work and stops soon.
	Leaving   bool       `json:"leaving,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Protocols are the oldest and the newest protocol between instances that the instance speaks.
	Protocols [2]uint8 `json:"protocols"`
}

// Candidate is an endpoint with the instance beside it.
type Candidate struct {
	Endpoint
	Instance *Record
}

// directoryShards is the number of parts of a directory that are copied apart from each other.
const directoryShards = 64

// Directory is an immutable view of the instances and endpoints. An update copies the touched services only
// and shares the rest with the view before it.
type Directory struct {
	records  map[ID]*Record
	services [directoryShards]map[string][]Candidate
}

// NewDirectory builds a view; the records must not change afterwards.
func NewDirectory(records map[ID]*Record) *Directory {
	d := &Directory{records: maps.Clone(records)}
	if d.records == nil {
		d.records = make(map[ID]*Record)
	}
	for n := range d.services {
		d.services[n] = make(map[string][]Candidate)
	}
	for _, r := range d.records {
		for _, e := range r.Endpoints {
			services := d.services[shardOf(e.Service)]
			services[e.Service] = append(services[e.Service], Candidate{Endpoint: e, Instance: r})
		}
	}
	for _, services := range d.services {
		for _, list := range services {
			slices.SortFunc(list, compare)
		}
	}
	return d
}

func shardOf(service string) int { return int(xxhash.Sum64String(service) % directoryShards) }

func compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Backend, b.Backend))
}

// Update returns the view with some records replaced or, where the change is nil, removed.
func (d *Directory) Update(changes map[ID]*Record) *Directory {
	next := &Directory{records: maps.Clone(d.records), services: d.services}
	touched := make(map[string]struct{})
	for id, r := range changes {
		if old, ok := d.records[id]; ok {
			touch(touched, old)
		}
		if r == nil {
			delete(next.records, id)
			continue
		}
		touch(touched, r)
		next.records[id] = r
	}
	copied := [directoryShards]bool{}
	lists := next.touchedLists(d, changes, touched)
	for service, list := range lists {
		n := shardOf(service)
		if !copied[n] {
			copied[n] = true
			next.services[n] = maps.Clone(next.services[n])
		}
		if len(list) == 0 {
			delete(next.services[n], service)
			continue
		}
		next.services[n][service] = list
	}
	return next
}

func touch(services map[string]struct{}, r *Record) {
	for _, e := range r.Endpoints {
		services[e.Service] = struct{}{}
	}
}

// touchedLists returns the new lists of the touched services, in their fixed order.
func (d *Directory) touchedLists(before *Directory, changes map[ID]*Record, touched map[string]struct{}) map[string][]Candidate {
	out := make(map[string][]Candidate, len(touched))
	for service := range touched {
		var list []Candidate
		for _, c := range before.Endpoints(service) {
			if _, changed := changes[c.Instance.ID]; !changed {
				list = append(list, c)
			}
		}
		out[service] = list
	}
	for _, r := range changes {
		if r == nil {
			continue
		}
		for _, e := range r.Endpoints {
			out[e.Service] = append(out[e.Service], Candidate{Endpoint: e, Instance: r})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, compare)
	}
	return out
}

// Endpoints returns all endpoints of a service in a fixed order; the caller does not change the slice.
func (d *Directory) Endpoints(service string) []Candidate {
	return d.services[shardOf(service)][service]
}

// Records returns all instances by identity; the caller does not change the map.
func (d *Directory) Records() map[ID]*Record { return d.records }

// Record returns one instance.
func (d *Directory) Record(id ID) (*Record, bool) {
	r, ok := d.records[id]
	return r, ok
}

// SelectInstances returns up to n instances of a failure domain by rendezvous hashing for a purpose: every instance with
// the same view chooses the same ones, and few change when an instance comes or goes. Leaving ones are not chosen.
func (d *Directory) SelectInstances(domain, purpose string, n int) []ID {
	type ranked struct {
		id   ID
		rank uint64
	}
	var all []ranked
	for id, r := range d.records {
		if r.Domain == domain && !r.Leaving {
			all = append(all, ranked{id, xxhash.Sum64String(purpose + "\x00" + string(id))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id)) })
	out := make([]ID, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.id)
	}
	return out
}

// ShardOwner returns the instance that rendezvous hashing puts first for a shard: every instance with the same view chooses the
// same one. Leaving ones come last.
func (d *Directory) ShardOwner(shard uint64) ID {
	var best ID
	var bestRank uint64
	for id, r := range d.records {
		if r.Leaving {
			continue
		}
		rank := xxhash.Sum64String(string(id)+"\x00"+strconv.FormatUint(shard, 10)) | 1
		if rank > bestRank || rank == bestRank && id < best {
			best, bestRank = id, rank
		}
	}
	return best
}
