package freshness

import (
	"cmp"
	"maps"
	"slices"

	"amaranthstile/membership"
)

// fanOut is how many instances of its failure domain an instance sends a reading to at most.
const fanOut = 16

// maxParts is how many parts there are on each side of the instance itself.
const maxParts = fanOut / 2

// Spread returns where this instance sends a reading of its own: to one instance of each other failure domain, which
// covers that domain, and to instances of its own. Suspected instances are chosen only if there is no other one.
func (t *Tracker) Spread(r membership.Reading, d *membership.Directory, suspected map[membership.ID]bool) []membership.ReadingTo {
	var out []membership.ReadingTo
	for _, domain := range slices.Sorted(maps.Keys(d.InstancesByDomain())) {
		records := t.participants(d, domain)
		if domain == t.options.Domain {
			out = append(out, t.cover(r, records, suspected)...)
			continue
		}
		if len(records) > 0 {
			out = append(out, t.delegate(r, records, suspected))
		}
	}
	return out
}

// PassOn returns where this instance sends a reading that it received: to instances that cover the range of the reading.
func (t *Tracker) PassOn(r membership.Reading, d *membership.Directory, suspected map[membership.ID]bool) []membership.ReadingTo {
	if r.To == "" {
		return nil
	}
	records := t.participants(d, t.options.Domain)
	first, _ := slices.BinarySearchFunc(records, r.From, compareID)
	end, found := slices.BinarySearchFunc(records, r.To, compareID)
	if found {
		end++
	}
	return t.cover(r, records[first:max(first, end)], suspected)
}

// participants returns the other instances of a failure domain that take part, by ID.
func (t *Tracker) participants(d *membership.Directory, domain string) []*membership.Record {
	all := d.InstancesByDomain()[domain]
	out := make([]*membership.Record, 0, len(all))
	for _, r := range all {
		if r.ID != t.options.Self && r.Protocols[1] >= t.options.Protocol {
			out = append(out, r)
		}
	}
	return out
}

func compareID(r *membership.Record, id membership.ID) int { return cmp.Compare(r.ID, id) }

// cover splits instances of the own failure domain into parts, and returns one instance of each to send the reading to.
// No part lies on both sides of this instance: it would belong to the part's range, and might be chosen to cover it.
func (t *Tracker) cover(r membership.Reading, records []*membership.Record, suspected map[membership.ID]bool) []membership.ReadingTo {
	self, _ := slices.BinarySearchFunc(records, t.options.Self, compareID)
	out := make([]membership.ReadingTo, 0, fanOut)
	for _, side := range [][]*membership.Record{records[:self], records[self:]} {
		parts := min(len(side), maxParts)
		for k := range parts {
			out = append(out, t.delegate(r, side[k*len(side)/parts:(k+1)*len(side)/parts], suspected))
		}
	}
	return out
}

// delegate returns a random instance, which covers all of the given ones.
func (t *Tracker) delegate(r membership.Reading, records []*membership.Record, suspected map[membership.ID]bool) membership.ReadingTo {
	start := t.options.Rand.IntN(len(records))
	chosen := records[start]
	for k := range records {
		if x := records[(start+k)%len(records)]; !suspected[x.ID] {
			chosen = x
			break
		}
	}
	r.From, r.To = "", ""
	if len(records) > 1 {
		r.From, r.To = records[0].ID, records[len(records)-1].ID
	}
	return membership.ReadingTo{Address: chosen.Control, Reading: r}
}
