package store_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/result"
	objects "amaranthstile/store"
	"amaranthstile/store/standin"
)

// TestFaults injects each fault, and checks the results of a read and a write and whether the write took effect.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		faults      standin.Faults
		read, write result.Code
		applied     bool
	}{
		"none": {standin.Faults{}, result.OK, result.OK, true},
		"unavailable": {
			standin.Faults{Unavailable: true}, result.PlatformUnavailable, result.PlatformUnavailable, false,
		},
		"write response lost": {standin.Faults{DropWriteResponses: 1}, result.OK, result.PlatformOutcomeUnknown, true},
		"read truncated":      {standin.Faults{TruncateReads: 1}, result.PlatformUnavailable, result.OK, true},
		"slow":                {standin.Faults{DelayMillis: 5}, result.OK, result.OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server, store := newHTTP(t, 10*time.Second)
			v, err := client.Put(ctx, "a", 0, []byte("before"))
			is.NoErr(err)
			server.SetFaults(c.faults)
			_, err = client.Get(ctx, "a")
			is.Equal(result.CodeOf(err), c.read)
			_, err = client.Put(ctx, "a", v, []byte("after"))
			is.Equal(result.CodeOf(err), c.write)
			o, err := store.Get(ctx, "a")
			is.NoErr(err)
			is.Equal(string(o.Value) == "after", c.applied)
		})
	}
}

func TestRateLimitExceeded(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client, server, store := newHTTP(t, 10*time.Second)
	server.SetFaults(standin.Faults{WritesPerSecond: 1, ReadsPerSecond: 1})
	writes, reads := 0, 0
	var err error
	for ; err == nil; writes++ {
		_, err = client.Put(ctx, "a/"+strconv.Itoa(writes), 0, nil)
	}
	is.True(result.Is(err, result.PlatformLimited))
	all, err := store.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(all), writes-1) // the refused write had no effect
	for ; err == nil; reads++ {
		_, err = client.Get(ctx, "a/0")
	}
	is.True(result.Is(err, result.PlatformLimited))
}

func TestStaleReads(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client, server, _ := newHTTP(t, 10*time.Second)
	old, err := client.Put(ctx, "a", 0, []byte("old"))
	is.NoErr(err)
	server.SetFaults(standin.Faults{StaleReads: true})
	_, err = client.Put(ctx, "a", old, []byte("new"))
	is.NoErr(err)
	o, err := client.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(o.Version, old)
	o, err = client.Watch(ctx, "a", old)
	is.NoErr(err)
	is.Equal(o.Version, old)
	_, err = client.Put(ctx, "a", old, []byte("newer")) // a write is checked against the current version
	is.True(result.Is(err, result.PlatformConflict))
}

// TestWriteAfterTimeout blocks a write beyond the call timeout. The write takes effect when it is released.
func TestWriteAfterTimeout(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client, server, store := newHTTP(t, 100*time.Millisecond)
	release := server.BlockCalls()
	_, err := client.Put(ctx, "a", 0, []byte("late"))
	is.Equal(result.CodeOf(err), result.PlatformOutcomeUnknown)
	_, err = client.Get(ctx, "a")
	is.Equal(result.CodeOf(err), result.PlatformUnavailable)
	_, err = store.Get(ctx, "a")
	is.True(result.Is(err, result.PlatformNotFound))
	release()
	o, err := store.Watch(ctx, "a", 0)
	is.NoErr(err)
	is.Equal(string(o.Value), "late")
}

// TestUnsentWrite checks that a write that was certainly not sent fails with PlatformUnavailable rather than with
// PlatformOutcomeUnknown.
func TestUnsentWrite(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, transport := range map[string]http.RoundTripper{
		"connection refused": &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}},
		"dial times out": &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}},
	} {
		c := objects.NewHTTP(objects.HTTPOptions{
			Base: "http://127.0.0.1:9", CallTimeout: 20 * time.Millisecond, Transport: transport,
		})
		_, err := c.Put(context.Background(), "a", 0, nil)
		if !result.Is(err, result.PlatformUnavailable) {
			t.Errorf("%s: %v", name, err)
		}
		if err := c.Delete(cancelled, "a", 1); !result.Is(err, result.PlatformUnavailable) {
			t.Errorf("%s, context cancelled: %v", name, err)
		}
	}
}

// TestInvalidResponses sends raw responses, most of them invalid, and checks the results of a read, a write and a list.
func TestInvalidResponses(t *testing.T) {
	const (
		unavailable = result.PlatformUnavailable
		unknown     = result.PlatformOutcomeUnknown
		protocol    = result.PlatformProtocol
	)
	tooLarge := strconv.Itoa(objects.MaxValueBytes + 1)
	for name, c := range map[string]struct {
		response       string
		get, put, list result.Code
	}{
		"empty":      {"", unavailable, unknown, unavailable},
		"not HTTP":   {"SSH-2.0-x\r\n\r\n", unavailable, unknown, unavailable},
		"no version": {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", protocol, unknown, protocol},
		"version not a number": {
			"HTTP/1.1 200 OK\r\nObject-Version: x\r\nContent-Length: 2\r\n\r\n[]",
			protocol, unknown, result.OK,
		},
		"version 0": {
			"HTTP/1.1 200 OK\r\nObject-Version: 0\r\nContent-Length: 2\r\n\r\n[]",
			protocol, unknown, result.OK,
		},
		"no length": {
			"HTTP/1.1 200 OK\r\nObject-Version: 3\r\nConnection: close\r\n\r\nhalf",
			protocol, unknown, protocol,
		},
		"truncated body": {
			"HTTP/1.1 200 OK\r\nObject-Version: 3\r\nContent-Length: 9\r\n\r\nhalf",
			unavailable, unknown, unavailable,
		},
		"truncated chunk": {
			"HTTP/1.1 200 OK\r\nObject-Version: 3\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
			unavailable, unknown, unavailable,
		},
		"body too large": {
			"HTTP/1.1 200 OK\r\nObject-Version: 3\r\nContent-Length: " + tooLarge + "\r\n\r\n" +
				strings.Repeat(" ", objects.MaxValueBytes+1),
			protocol, result.OK, protocol,
		},
		"header too large": {
			"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 80<<10) + "\r\nContent-Length: 0\r\n\r\n",
			unavailable, unknown, unavailable,
		},
		"impossible status": {
			"HTTP/1.1 000 X\r\nObject-Version: 3\r\nContent-Length: 2\r\n\r\n[]",
			protocol, unknown, protocol,
		},
		"impossible status, marked as not applied": {
			"HTTP/1.1 000 X\r\nObject-Not-Applied: 1\r\nContent-Length: 0\r\n\r\n",
			protocol, unknown, protocol,
		},
		"impossible high status, marked as not applied": {
			"HTTP/1.1 600 X\r\nObject-Not-Applied: 1\r\nContent-Length: 0\r\n\r\n",
			protocol, unknown, protocol,
		},
		"blank in the name of a field": {
			"HTTP/1.1 200 OK\r\nObject-Version: 3\r\nX A: b\r\nContent-Length: 2\r\n\r\n[]",
			unavailable, unknown, unavailable,
		},
		"blank before the name of a field, marked as not applied": {
			"HTTP/1.1 503 X\r\nObject-Not-Applied: 1\r\n X-A: b\r\nContent-Length: 0\r\n\r\n",
			unavailable, unknown, unavailable,
		},
		"redirect": {
			"HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/objects/b\r\nContent-Length: 0\r\n\r\n",
			protocol, unknown, protocol,
		},
		"unexpected success status": {
			"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
			protocol, unknown, protocol,
		},
		"server error": {
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
			unavailable, unknown, unavailable,
		},
		"marked as not applied": {
			"HTTP/1.1 503 Service Unavailable\r\nObject-Not-Applied: 1\r\nContent-Length: 0\r\n\r\n",
			unavailable, unavailable, unavailable,
		},
		"forbidden": {"HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n", protocol, protocol, protocol},
		"not found": {
			"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
			result.PlatformNotFound, result.PlatformConflict, result.PlatformNotFound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				conn, out, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				_, _ = out.WriteString(c.response)
				_ = out.Flush()
				_ = conn.Close()
			}))
			defer h.Close()
			client := objects.NewHTTP(objects.HTTPOptions{Base: h.URL, CallTimeout: 10 * time.Second})
			ctx := context.Background()
			_, err := client.Put(ctx, "a", 4, []byte("x"))
			is.Equal(result.CodeOf(err), c.put)
			is.Equal(calls.Load(), int32(1)) // a write is sent once
			_, err = client.Get(ctx, "a")
			is.Equal(result.CodeOf(err), c.get)
			_, err = client.List(ctx, "a")
			is.Equal(result.CodeOf(err), c.list)
		})
	}
}

// TestClosedIdleConnection checks that a read succeeds after the platform closed the idle connections.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	h := httptest.NewServer(standin.New(objects.NewMemory()))
	defer h.Close()
	client := objects.NewHTTP(objects.HTTPOptions{Base: h.URL})
	_, err := client.Put(ctx, "a/0", 0, nil)
	is.NoErr(err)
	h.CloseClientConnections()
	_, err = client.Get(ctx, "a/0")
	is.NoErr(err)
}
