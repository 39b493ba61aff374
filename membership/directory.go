// Package membership keeps track of the other instances and of the endpoints beside them, by probes and gossip in the
// manner of SWIM.
//
// Each instance owns one record of itself: its addresses, its failure domain and the endpoints in its slots. The
// version of a record grows with every change by its owner, and every instance keeps the newest version. A Directory
// is an immutable view of all records that is replaced as a whole; requests choose their endpoints from it.
package membership

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ID identifies one process. A restarted process has a new ID.
type ID string

// EndpointState says which work an endpoint accepts.
type EndpointState string

// The states of an endpoint.
const (
	// Active endpoints accept work.
	Active EndpointState = "active"
	// Warming endpoints accept little work until their cold start is over.
	Warming EndpointState = "warming"
	// Draining endpoints finish the work that they have and accept no more.
	Draining EndpointState = "draining"
	// Ejected endpoints are outliers that accept only trial requests.
	Ejected EndpointState = "ejected"
)

// Endpoint is a backend server as other instances see it.
type Endpoint struct {
	Backend string        `json:"backend"`
	Service string        `json:"service"`
	Slots   int           `json:"slots"`
	State   EndpointState `json:"state"`
	// Badness ranks ejected endpoints from 1 to 100, the worst highest. If ejection would leave too few endpoints,
	// those with the lowest value stay in use.
	Badness int `json:"badness,omitempty"`
	// Trials reports whether an ejected endpoint accepts trial requests now.
	Trials bool `json:"trials,omitempty"`
	// LatencyMicros is the typical time until the headers of a response, in microseconds; 0 while unknown.
	LatencyMicros int64 `json:"levelMicros,omitempty"`
	// FailurePermille is the share of requests that failed, in thousandths.
	FailurePermille int `json:"failingPermille,omitempty"`
}

// Record is what an instance publishes about itself.
type Record struct {
	ID      ID     `json:"id"`
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Link is the address that accepts forwarded requests, Control the one that accepts calls between instances.
	Link    netip.AddrPort `json:"link"`
	Control netip.AddrPort `json:"control"`
	// Leaving reports that the instance accepts no new work and stops soon.
	Leaving   bool       `json:"leaving,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Protocols holds the oldest and the newest version of the protocol between instances that the instance supports.
	Protocols [2]uint8 `json:"protocols"`
}

// Candidate is an endpoint together with the instance that runs beside it.
type Candidate struct {
	Endpoint
	Instance *Record
}

// directoryShards is the number of shards of a Directory; an update copies only the shards that change.
const directoryShards = 64

// Directory is an immutable view of the instances and endpoints. An update copies only the affected services and
// shares the rest with the previous view.
type Directory struct {
	records   map[ID]*Record
	instances map[string]int // number of records, by failure domain
	services  [directoryShards]map[string][]Candidate
	// byDomain is built when it is first used; see InstancesByDomain.
	byDomain     map[string][]*Record
	byDomainOnce sync.Once
}

// NewDirectory builds a view. The records must not be modified afterwards.
func NewDirectory(records map[ID]*Record) *Directory {
	d := &Directory{records: maps.Clone(records), instances: make(map[string]int)}
	if d.records == nil {
		d.records = make(map[ID]*Record)
	}
	for shard := range d.services {
		d.services[shard] = make(map[string][]Candidate)
	}
	for _, r := range d.records {
		d.instances[r.Domain]++
		for _, e := range r.Endpoints {
			services := d.services[shardOf(e.Service)]
			services[e.Service] = append(services[e.Service], Candidate{Endpoint: e, Instance: r})
		}
	}
	for _, services := range d.services {
		for _, list := range services {
			slices.SortFunc(list, compareCandidates)
		}
	}
	return d
}

func shardOf(service string) int { return int(xxhash.Sum64String(service) % directoryShards) }

// compareCandidates orders candidates by instance and then by backend server.
func compareCandidates(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Backend, b.Backend))
}

// Update returns a view in which the given records are replaced or, where the value is nil, removed.
func (d *Directory) Update(changes map[ID]*Record) *Directory {
	next := &Directory{records: maps.Clone(d.records), instances: maps.Clone(d.instances), services: d.services}
	affected := make(map[string]struct{})
	for id, r := range changes {
		if old, ok := d.records[id]; ok {
			collectServices(affected, old)
			next.removeInstance(old.Domain)
		}
		if r == nil {
			delete(next.records, id)
			continue
		}
		collectServices(affected, r)
		next.records[id] = r
		next.instances[r.Domain]++
	}
	copied := [directoryShards]bool{}
	lists := next.rebuildLists(d, changes, affected)
	for service, list := range lists {
		shard := shardOf(service)
		if !copied[shard] {
			copied[shard] = true
			next.services[shard] = maps.Clone(next.services[shard])
		}
		if len(list) == 0 {
			delete(next.services[shard], service)
			continue
		}
		next.services[shard][service] = list
	}
	return next
}

// removeInstance counts one instance of a failure domain less.
func (d *Directory) removeInstance(domain string) {
	if d.instances[domain]--; d.instances[domain] == 0 {
		delete(d.instances, domain)
	}
}

// collectServices adds the services of a record's endpoints to a set.
func collectServices(services map[string]struct{}, r *Record) {
	for _, e := range r.Endpoints {
		services[e.Service] = struct{}{}
	}
}

// rebuildLists returns the new candidate lists of the affected services, each sorted.
func (d *Directory) rebuildLists(
	before *Directory, changes map[ID]*Record, affected map[string]struct{},
) map[string][]Candidate {
	out := make(map[string][]Candidate, len(affected))
	for service := range affected {
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
		slices.SortFunc(list, compareCandidates)
	}
	return out
}

// Endpoints returns all endpoints of a service, sorted by instance and backend server. The caller must not modify the
// slice.
func (d *Directory) Endpoints(service string) []Candidate {
	return d.services[shardOf(service)][service]
}

// CountInstances returns the number of instances in a failure domain.
func (d *Directory) CountInstances(domain string) int { return d.instances[domain] }

// InstancesByDomain returns the records of the instances in each failure domain, sorted by ID. The caller must not modify
// them.
func (d *Directory) InstancesByDomain() map[string][]*Record {
	d.byDomainOnce.Do(func() {
		d.byDomain = make(map[string][]*Record, len(d.instances))
		for _, r := range d.records {
			d.byDomain[r.Domain] = append(d.byDomain[r.Domain], r)
		}
		for _, list := range d.byDomain {
			slices.SortFunc(list, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
		}
	})
	return d.byDomain
}

// Records returns the records of all instances by ID. The caller must not modify the map.
func (d *Directory) Records() map[ID]*Record { return d.records }

// Record returns the record of one instance.
func (d *Directory) Record(id ID) (*Record, bool) {
	r, ok := d.records[id]
	return r, ok
}

// SelectInstances returns up to n instances of a failure domain for a purpose, by rendezvous hashing. All instances
// with the same view select the same ones, and few selections change when an instance joins or ends. Leaving
// instances are not selected.
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

// SelectInstance returns the instance of all failure domains that rendezvous hashing ranks first for a purpose, or "" if
// there is none. Leaving instances and those in skip are not selected.
func (d *Directory) SelectInstance(purpose string, skip map[ID]bool) ID {
	var selected ID
	var highest uint64
	prefix := len(purpose) + 1
	key := append([]byte(purpose), 0)
	for id, r := range d.records {
		key = append(key[:prefix], id...)
		rank := xxhash.Sum64(key) | 1
		if rank < highest || rank == highest && id > selected || r.Leaving || skip[id] {
			continue
		}
		selected, highest = id, rank
	}
	return selected
}

// ShardOwners returns, for each of n shards, the instance that rendezvous hashing ranks first, so that all instances with
// the same view agree on it. Leaving instances are skipped; an owner is empty if no other instance is known.
func (d *Directory) ShardOwners(n int) []ID {
	owners, ranks := make([]ID, n), make([]uint64, n)
	var key []byte
	for id, r := range d.records {
		if r.Leaving {
			continue
		}
		key = append(append(key[:0], id...), 0)
		for shard := range n {
			key = strconv.AppendInt(key[:len(id)+1], int64(shard), 10)
			rank := xxhash.Sum64(key) | 1
			if rank > ranks[shard] || rank == ranks[shard] && id < owners[shard] {
				owners[shard], ranks[shard] = id, rank
			}
		}
	}
	return owners
}
