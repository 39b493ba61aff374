// Package route finds the route of a request.
//
// A Table is immutable and replaced as a whole, so that a request sees one consistent state. With builds the next
// table and shares everything unchanged with the previous one, so that the cost of a change ticket does not depend on
// the number of routes.
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

// Route is a route with all defaults applied.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Open reports whether requests need no API key.
	Open bool
	// TimeLimit limits the time of a request from its arrival.
	TimeLimit time.Duration
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int
	// TargetLatency is the time within which a response is most useful; 0 means that there is no target.
	TargetLatency time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// subpathsOnly excludes a path that equals the prefix; only longer paths match.
	subpathsOnly bool
	parts        []ticket.WeightedService
	totalWeight  float64 // sum over all parts
	repeatable   []string
}

// Pick returns the service of one request according to the weights of the traffic split. u is a uniform random number
// in [0, 1).
func (r *Route) Pick(u float64) string {
	u *= r.totalWeight
	for _, p := range r.parts {
		if u < p.Weight {
			return p.Service
		}
		u -= p.Weight
	}
	return r.Service
}

// Repeatable reports whether a request with this method may be sent more than once.
func (r *Route) Repeatable(method string) bool { return slices.Contains(r.repeatable, method) }

// routeKey is what a route matches: a host, empty for any host, and a path prefix.
type routeKey struct{ host, prefix string }

func hashRouteKey(p routeKey) uint64 { return cow.HashStrings(p.host, p.prefix) }

// Table finds routes by host and path prefix.
type Table struct {
	byKey  cow.Map[routeKey, *Route]
	byName cow.Map[string, *Route]
	// maxSegments is the largest number of path segments that any prefix has or has had.
	maxSegments int
}

// NewTable builds the table of the routes in force.
func NewTable(routes map[string]ticket.Object[ticket.Route]) *Table {
	changes := make(map[string]*ticket.Route, len(routes))
	for name, o := range routes {
		changes[name] = o.Value
	}
	return (*Table)(nil).With(changes)
}

// With returns the table after a change ticket. A nil route removes the route of that name; any other route replaces
// it. A nil table is treated as empty.
func (t *Table) With(changes map[string]*ticket.Route) *Table {
	if t == nil {
		t = &Table{byKey: cow.New[routeKey, *Route](hashRouteKey), byName: cow.New[string, *Route](cow.HashString)}
	}
	if len(changes) == 0 {
		return t
	}
	byKey, byName, maxSegments := t.byKey.Edit(), t.byName.Edit(), t.maxSegments
	for name := range changes {
		if old, ok := byName.Get(name); ok {
			byKey.Delete(routeKey{old.Host, old.Prefix})
			byName.Delete(name)
		}
	}
	for name, r := range changes {
		if r != nil {
			out := newRoute(name, r)
			byKey.Set(routeKey{out.Host, out.Prefix}, out)
			byName.Set(name, out)
			maxSegments = max(maxSegments, strings.Count(out.Prefix, "/"))
		}
	}
	return &Table{byKey: byKey.Map(), byName: byName.Map(), maxSegments: maxSegments}
}

// repeatableByDefault lists the methods that may be sent more than once if a route lists none.
var repeatableByDefault = []string{"GET", "HEAD"}

// newRoute applies the defaults to a route of a change ticket.
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
		subpathsOnly:  r.Below,
		repeatable:    r.Repeatable,
	}
	for _, p := range r.Split {
		if p.Weight > 0 {
			out.parts = append(out.parts, p)
			out.totalWeight += p.Weight
			out.Service = p.Service // the result of Pick if rounding skips every part
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
func (t *Table) Len() int { return t.byName.Len() }

// Lookup returns the route with the longest matching prefix for the host or, if there is none, for any host. The host
// may include a port.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	fullPath := path
	path = truncatePath(path, t.maxSegments)
	if host = normalizeHost(host); host != "" {
		if r, ok := t.longestPrefix(host, path, fullPath); ok {
			return r, true
		}
	}
	return t.longestPrefix("", path, fullPath)
}

// normalizeHost removes the port and a final dot and converts the host to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// truncatePath shortens a path to what a prefix with the given number of segments can match. This limits the cost of
// a lookup, whatever path a client sends.
func truncatePath(path string, segments int) string {
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

// longestPrefix looks up ever shorter prefixes of path, one segment at a time. fullPath is the path before
// truncation.
func (t *Table) longestPrefix(host, path, fullPath string) (*Route, bool) {
	for len(path) > 1 {
		if r, ok := t.byKey.Get(routeKey{host, path}); ok && (!r.subpathsOnly || len(path) < len(fullPath)) {
			return r, true
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return t.byKey.Get(routeKey{host, "/"})
}
