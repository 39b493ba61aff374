package store_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/result"
	objects "amaranthstile/store"
	"amaranthstile/store/standin"
)

const watchWait = 50 * time.Millisecond

// newHTTP returns a client of a stand-in with its server and the store behind it.
func newHTTP(t *testing.T, callTimeout time.Duration) (*objects.HTTP, *standin.Server, *objects.Memory) {
	t.Helper()
	store := objects.NewMemory()
	server := standin.New(store)
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	return objects.NewHTTP(objects.HTTPOptions{Base: h.URL, CallTimeout: callTimeout, WatchWait: watchWait}), server, store
}

func TestContract(t *testing.T) {
	clients := map[string]func(t *testing.T) objects.Client{
		"memory": func(*testing.T) objects.Client {
			m := objects.NewMemory()
			m.WatchWait = watchWait
			return m
		},
		"http": func(t *testing.T) objects.Client {
			c, _, _ := newHTTP(t, 10*time.Second)
			return c
		},
	}
	for name, make := range clients {
		t.Run(name, func(t *testing.T) { testClient(t, make) })
	}
}

// testClient is the contract of every Client.
func testClient(t *testing.T, newClient func(t *testing.T) objects.Client) {
	ctx := context.Background()
	for name, check := range map[string]func(is *is.I, c objects.Client){
		"versions grow, also over a delete": func(is *is.I, c objects.Client) {
			one, err := c.Put(ctx, "a/b", 0, []byte("1"))
			is.NoErr(err)
			two, err := c.Put(ctx, "a/b", one, []byte("2"))
			is.NoErr(err)
			is.True(two > one)
			is.NoErr(c.Delete(ctx, "a/b", two))
			three, err := c.Put(ctx, "a/b", 0, nil)
			is.NoErr(err)
			is.True(three > two)
			o, err := c.Get(ctx, "a/b")
			is.NoErr(err)
			is.Equal(o.Name, "a/b")
			is.Equal(o.Version, three)
			is.Equal(len(o.Value), 0)
		},
		"of two writers one gets a conflict": func(is *is.I, c objects.Client) {
			v, err := c.Put(ctx, "a", 0, []byte("first"))
			is.NoErr(err)
			_, err = c.Put(ctx, "a", 0, []byte("second"))
			is.True(result.Is(err, result.PlatformConflict))
			_, err = c.Put(ctx, "a", v+1, []byte("third"))
			is.True(result.Is(err, result.PlatformConflict))
			_, err = c.Put(ctx, "absent", 7, []byte("fourth"))
			is.True(result.Is(err, result.PlatformConflict))
			is.True(result.Is(c.Delete(ctx, "a", v+1), result.PlatformConflict))
			is.True(result.Is(c.Delete(ctx, "absent", 7), result.PlatformNotFound))
			o, err := c.Get(ctx, "a")
			is.NoErr(err)
			is.Equal(string(o.Value), "first")
		},
		"an absent object is not found": func(is *is.I, c objects.Client) {
			_, err := c.Get(ctx, "absent")
			is.True(result.Is(err, result.PlatformNotFound))
			_, err = c.Watch(ctx, "absent", 0)
			is.True(result.Is(err, result.PlatformNotFound))
		},
		"a watch gives what is there, wakes, and ends unchanged": func(is *is.I, c objects.Client) {
			v, err := c.Put(ctx, "a", 0, []byte("1"))
			is.NoErr(err)
			o, err := c.Watch(ctx, "a", 0)
			is.NoErr(err)
			is.Equal(string(o.Value), "1")
			o, err = c.Watch(ctx, "a", v)
			is.NoErr(err)
			is.Equal(o.Version, v) // unchanged
			woken := make(chan objects.Object)
			go func() {
				o := objects.Object{Version: v}
				for err := error(nil); err == nil && o.Version == v; {
					o, err = c.Watch(ctx, "a", v)
				}
				woken <- o
			}()
			_, err = c.Put(ctx, "a", v, []byte("2"))
			is.NoErr(err)
			is.Equal(string((<-woken).Value), "2")
		},
		"a list has names and versions in order, without values": func(is *is.I, c objects.Client) {
			for _, name := range []string{"a/2", "b", "a/1", "a-0"} {
				_, err := c.Put(ctx, name, 0, []byte("value"))
				is.NoErr(err)
			}
			all, err := c.List(ctx, "a/")
			is.NoErr(err)
			is.Equal(len(all), 2)
			is.Equal(all[0].Name, "a/1")
			is.Equal(all[1].Name, "a/2")
			is.True(all[0].Version > all[1].Version)
			is.Equal(all[0].Value, nil)
			none, err := c.List(ctx, "c")
			is.NoErr(err)
			is.Equal(len(none), 0)
		},
		"a value has at most 1 MB": func(is *is.I, c objects.Client) {
			full := bytes.Repeat([]byte("x"), objects.MaxValueBytes)
			_, err := c.Put(ctx, "full", 0, full)
			is.NoErr(err)
			o, err := c.Get(ctx, "full")
			is.NoErr(err)
			is.True(bytes.Equal(o.Value, full))
			_, err = c.Put(ctx, "over", 0, append(full, 'x'))
			is.True(result.Is(err, result.PlatformTooLarge))
		},
		"names are checked": func(is *is.I, c objects.Client) {
			for _, name := range []string{"", "/a", "a/", "a//b", "A", "a b", "a?b", "..", "ä", strings.Repeat("a", objects.MaxNameBytes+1)} {
				_, err := c.Get(ctx, name)
				is.True(result.Is(err, result.PlatformNameInvalid)) // get
				_, err = c.Put(ctx, name, 0, nil)
				is.True(result.Is(err, result.PlatformNameInvalid)) // put
				is.True(result.Is(c.Delete(ctx, name, 1), result.PlatformNameInvalid))
				_, err = c.Watch(ctx, name, 0)
				is.True(result.Is(err, result.PlatformNameInvalid)) // watch
			}
			_, err := c.List(ctx, "a?")
			is.True(result.Is(err, result.PlatformNameInvalid))
		},
	} {
		t.Run(name, func(t *testing.T) { check(is.New(t), newClient(t)) })
	}
}

func TestStandinCountsCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, server, _ := newHTTP(t, 10*time.Second)
	v, err := c.Put(ctx, "a", 0, nil)
	is.NoErr(err)
	_, err = c.Watch(ctx, "a", v) // waits to its end, and counts as one
	is.NoErr(err)
	_, err = c.List(ctx, "")
	is.NoErr(err)
	server.SetFaults(standin.Faults{Unavailable: true})
	_, err = c.Get(ctx, "a")
	is.True(err != nil)
	server.SetFaults(standin.Faults{})
	is.NoErr(c.Delete(ctx, "a", v))
	is.Equal(server.Calls(), map[objects.CallKind]uint64{
		objects.CallPut: 1, objects.CallWatch: 1, objects.CallList: 1, objects.CallGet: 1, objects.CallDelete: 1,
	})
}
