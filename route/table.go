// Package route finds the route of a request.
//
// A Table is immutable and swapped whole, so that a request sees one state from beginning to end. With makes
// the next one and shares with the last all that did not change, so that a change ticket costs the same however
// many routes there are.
package route

import (
	"slices"
	"strings"
	"time"

	"amaranthstile/internal/cow"
	"amaranthstile/ticket"
)

const (
	defaultTimeLimit = 30 * time.Second
	defaultMaxBody   = 16 << 20 // bytes
	defaultMaxRuns   = 4
)

// Route is a route ready for use.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Open says that a request needs no key.
	Open bool
	// TimeLimit bounds a request from its arrival.
	TimeLimit time.Duration
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64
	// MaxAttempts is at how many endpoints one request may run.
	MaxAttempts int
	// TargetLatency is the time within which an answer is worth most, 0 for none.
	TargetLatency time.Duration
	// Priority ranks waiting requests, 0 first.
	Priority   int
	below      bool
	parts      []ticket.WeightedService
	weight     float64 // of all parts
	repeatable []string
}

// Pick returns the service of one request; u is uniform from 0 to below 1.
func (r *Route) Pick(u float64) string {
	u *= r.weight
	for _, p := range r.parts {
		if u < p.Weight {
			return p.Service
		}
		u -= p.Weight
	}
	return r.Service
}

// Repeatable reports whether a request with this method may be sent again.
func (r *Route) Repeatable(method string) bool { return slices.Contains(r.repeatable, method) }

// place is where a route lies.
type place struct{ host, prefix string }

func hashPlace(p place) uint64 { return cow.HashStrings(p.host, p.prefix) }

// Table finds routes by host and path prefix.
type Table struct {
	places cow.Map[place, *Route]
	names  cow.Map[string, *Route]
	// segments is the largest number of segments that a prefix has or had.
	segments int
}

// NewTable builds the table of the routes in force.
func NewTable(routes map[string]ticket.Object[ticket.Route]) *Table {
	changes := make(map[string]*ticket.Route, len(routes))
	for name, o := range routes {
		changes[name] = o.Value
	}
	return (*Table)(nil).With(changes)
}

// With returns the table after a change ticket: a route that is nil is removed, any other takes the place of
// the earlier one of that name. A nil table is empty.
func (t *Table) With(changes map[string]*ticket.Route) *Table {
	if t == nil {
		t = &Table{places: cow.New[place, *Route](hashPlace), names: cow.New[string, *Route](cow.HashString)}
	}
	if len(changes) == 0 {
		return t
	}
	places, names, segments := t.places.Edit(), t.names.Edit(), t.segments
	for name := range changes {
		if old, ok := names.Get(name); ok {
			places.Delete(place{old.Host, old.Prefix})
			names.Delete(name)
		}
	}
	for name, r := range changes {
		if r != nil {
			out := newRoute(name, r)
			places.Set(place{out.Host, out.Prefix}, out)
			names.Set(name, out)
			segments = max(segments, strings.Count(out.Prefix, "/"))
		}
	}
	return &Table{places: places.Map(), names: names.Map(), segments: segments}
}

// repeatableByDefault are the methods that may be sent again where a route names none.
var repeatableByDefault = []string{"GET", "HEAD"}

func newRoute(name string, r *ticket.Route) *Route {
	out := &Route{
		Name:          name,
		Host:          r.Host,
		Prefix:        r.Prefix,
		Service:       r.Service,
		Open:          r.Open,
		TimeLimit:     time.Duration(r.TimeLimitMillis) * time.Millisecond,
		MaxBodyBytes:  r.MaxBodyBytes,
		MaxAttempts:   r.MaxRuns,
		TargetLatency: time.Duration(r.TargetMillis) * time.Millisecond,
		Priority:      r.Priority,
		below:         r.Below,
		repeatable:    r.Repeatable,
	}
	for _, p := range r.Split {
		if p.Weight > 0 {
			out.parts = append(out.parts, p)
			out.weight += p.Weight
			out.Service = p.Service // where rounding leaves none of the parts
		}
	}
	if out.MaxAttempts == 0 {
		out.MaxAttempts = defaultMaxRuns
	}
	if out.TimeLimit == 0 {
		out.TimeLimit = defaultTimeLimit
	}
	if out.MaxBodyBytes == 0 {
		out.MaxBodyBytes = defaultMaxBody
	}
	if out.repeatable == nil {
		out.repeatable = repeatableByDefault
	}
	return out
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.names.Len() }

// Lookup returns the route with the longest prefix for the host, or else for every host. The host may carry
// a port.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	whole := path
	path = searched(path, t.segments)
	if host = hostName(host); host != "" {
		if r, ok := t.longest(host, path, whole); ok {
			return r, true
		}
	}
	return t.longest("", path, whole)
}

// hostName strips the port and a final dot, and takes the case away.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// searched cuts a path down to what a prefix of so many segments can match, so that a lookup is bounded
// whatever a caller sends.
func searched(path string, segments int) string {
	if len(path) > ticket.MaxPrefixBytes {
		i := strings.LastIndexByte(path[:ticket.MaxPrefixBytes+1], '/')
		path = path[:max(i, 0)]
	}
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if segments == 0 {
			return path[:i]
		}
		segments--
	}
	return path
}

// longest walks up the path's segments.
func (t *Table) longest(host, path, whole string) (*Route, bool) {
	for len(path) > 1 {
		if r, ok := t.places.Get(place{host, path}); ok && (!r.below || len(path) < len(whole)) {
			return r, true
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return t.places.Get(place{host, "/"})
}
