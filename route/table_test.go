package route_test

import (
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"

	"amaranthstile/route"
	"amaranthstile/ticket"
)

func TestLookup(t *testing.T) {
	deep := strings.Repeat("/s", ticket.MaxPrefixSegments)
	long := "/" + strings.Repeat("l", ticket.MaxPrefixBytes-1)
	table := (*route.Table)(nil).With(map[string]*ticket.Route{
		"any":    {Prefix: "/", Service: "s"},
		"turns":  {Prefix: "/turns", Service: "s"},
		"norte":  {Host: "norte.example", Prefix: "/turns", Service: "s"},
		"norte2": {Host: "norte.example", Prefix: "/turns/open", Service: "s"},
		"deep":   {Prefix: deep, Service: "s"},
		"long":   {Prefix: long, Service: "s"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"", "/", "any"},
		{"", "/turnsx", "any"},
		{"", "/turns", "turns"},
		{"", "/turns/", "turns"},
		{"", "/turns//a", "turns"},
		{"norte.example", "/turns/open/1", "norte2"},
		{"norte.example:8080", "/turns/opened", "norte"},
		{"NORTE.example.:8080", "/turns", "norte"},
		{"norte.example", "/other", "any"},
		{"[::1]:80", "/turns", "turns"},
		{"[::1]", "/turns", "turns"},
		{"", deep + "/x", "deep"},
		{"", deep + "x", "any"},
		{"", deep + strings.Repeat("/x", 5000), "deep"},
		{"", long, "long"},
		{"", long + "/x", "long"},
		{"", long + "x", "any"},
		{"", "", "any"},
		{"", "*", "any"},
	} {
		r, ok := table.Lookup(c.host, c.path)
		if !ok || r.Name != c.want {
			t.Errorf("%q %.40q: %v, want %s", c.host, c.path, r, c.want)
		}
	}
	is := is.New(t)
	is.True(route.NewTable(map[string]ticket.Object[ticket.Route]{"a": {Value: &ticket.Route{Prefix: "/a"}}}).Len() == 1)
	_, ok := (*route.Table)(nil).With(nil).Lookup("x", "/")
	is.True(!ok)
}

// TestWithEqualsRebuilding checks that a table built by successive changes finds the same routes as one built at
// once.
func TestWithEqualsRebuilding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, all := (*route.Table)(nil), map[string]*ticket.Route{}
		taken := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(t, "tickets") {
			changes := map[string]*ticket.Route{}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID).Draw(t, "names") {
				changes[name] = nil
				if old := all[name]; old != nil {
					delete(taken, old.Prefix)
				}
			}
			for name := range changes {
				p := rapid.SampledFrom([]string{"/x", "/y", "/x/y", "/"}).Draw(t, "prefix")
				if _, duplicate := taken[p]; !duplicate && rapid.Bool().Draw(t, "set") {
					changes[name] = &ticket.Route{Prefix: p}
					taken[p] = name
				}
			}
			maps.Copy(all, changes)
			table = table.With(changes)
			for _, path := range []string{"/x", "/y", "/x/y", "/z"} {
				got, ok := table.Lookup("", path)
				want, has := (*route.Table)(nil).With(all).Lookup("", path)
				if ok != has || (ok && got.Name != want.Name) {
					t.Fatalf("%s: %v, want %v", path, got, want)
				}
			}
		}
	})
}

// fullRoutes is the number of routes in the benchmarks.
const fullRoutes = 54_000

// fullTable builds a table with fullRoutes routes.
func fullTable() *route.Table {
	changes := make(map[string]*ticket.Route, fullRoutes)
	for n := range fullRoutes {
		changes[fmt.Sprintf("route-%d", n)] = &ticket.Route{Host: fmt.Sprintf("team-%d.example", n%900), Prefix: fmt.Sprintf("/area/%d", n), Service: "s"}
	}
	return (*route.Table)(nil).With(changes)
}

func BenchmarkTableFull(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := fullTable()
	runtime.GC()
	runtime.ReadMemStats(&after)
	hosts, paths := make([]string, 1024), make([]string, 1024)
	for i := range hosts {
		n := i * 7919 % fullRoutes
		hosts[i], paths[i] = fmt.Sprintf("team-%d.example:8080", n%900), fmt.Sprintf("/area/%d/turn/17/open", n)
	}
	b.Run("lookup", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			if _, ok := table.Lookup(hosts[n%1024], paths[n%1024]); !ok {
				b.Fatal("not found")
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/fullRoutes, "B/route")
	})
	b.Run("miss-of-16-segments", func(b *testing.B) {
		b.ReportAllocs()
		path := strings.Repeat("/segment", 16)
		for n := 0; b.Loop(); n++ {
			table.Lookup(hosts[n%1024], path)
		}
	})
	b.Run("rebuild", func(b *testing.B) {
		for b.Loop() {
			fullTable()
		}
	})
	b.Run("with", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			table = table.With(map[string]*ticket.Route{fmt.Sprintf("route-%d", n%fullRoutes): {Host: "h", Prefix: fmt.Sprintf("/area/%d", n), Service: "s"}})
		}
	})
}
