package quota_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/quota"
	"amaranthstile/ticket"
)

func account(keys ...string) *ticket.Account {
	a := &ticket.Account{Rate: 1, Burst: 1}
	for _, k := range keys {
		a.Keys = append(a.Keys, ticket.HashKey(k))
	}
	return a
}

// TestIndexAfterTickets checks keys that are granted, moved and revoked. Older indexes must not change.
func TestIndexAfterTickets(t *testing.T) {
	is := is.New(t)
	one := (*quota.Index)(nil).With(map[string]*ticket.Account{"a": account("k1", "k2"), "b": account("k3")})
	two := one.With(map[string]*ticket.Account{"a": account("k2", "k3"), "b": account("k1")}) // the accounts swap keys
	three := two.With(map[string]*ticket.Account{"a": nil})
	for _, c := range []struct {
		index *quota.Index
		key   string
		want  string
	}{
		{one, "k1", "a"},
		{one, "k2", "a"},
		{one, "k3", "b"},
		{one, "k4", ""},
		{two, "k1", "b"},
		{two, "k2", "a"},
		{two, "k3", "a"},
		{three, "k1", "b"},
		{three, "k2", ""},
		{three, "k3", ""},
	} {
		a, ok := c.index.Find(c.key)
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(a.Name, c.want)
		}
	}
	is.Equal(three.Len(), 1)
	_, ok := three.Account("a")
	is.True(!ok)
}

const fullAccounts = 120_000

func BenchmarkIndexFull(b *testing.B) {
	changes := make(map[string]*ticket.Account, fullAccounts)
	for n := range fullAccounts {
		changes[fmt.Sprintf("account-%d", n)] = account(fmt.Sprintf("key-of-some-length-%d", n))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := (*quota.Index)(nil).With(changes)
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-of-some-length-%d", i*7919%fullAccounts)
	}
	b.Run("find", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			if _, ok := index.Find(keys[n%1024]); !ok {
				b.Fatal("not found")
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/fullAccounts, "B/account")
	})
	b.Run("rebuild", func(b *testing.B) {
		for b.Loop() {
			(*quota.Index)(nil).With(changes)
		}
	})
	b.Run("with", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			index = index.With(map[string]*ticket.Account{fmt.Sprintf("account-%d", n%fullAccounts): account(fmt.Sprint(n))})
		}
	})
	runtime.KeepAlive(changes)
}

func TestNilIndexIsEmpty(t *testing.T) {
	is := is.New(t)
	var x *quota.Index
	_, found := x.Account("a")
	is.True(!found)
	_, found = x.Find("key")
	is.True(!found)
}
