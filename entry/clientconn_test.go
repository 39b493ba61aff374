package entry_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/entry"
	"amaranthstile/idempotency"
	"amaranthstile/result"
)

// TestRawRequests sends requests that an HTTP client would not send, such as ones for request smuggling. Each row is
// one connection: runs is how many requests must reach the backend server, and codes are the result codes of the
// responses, 0 for a response of the backend server. Without codes, the connection is closed without reading a
// response.
func TestRawRequests(t *testing.T) {
	const inner = "GET /open?inner HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, raw string
		runs      int32
		codes     []result.Code
	}{
		{"two in a row", inner + strings.Replace(inner, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), 2, []result.Code{0, 0}},
		{"length and chunks", "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, 1, []result.Code{0}},
		{"chunks and length", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner, 1, []result.Code{0}},
		{"two lengths", "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"signed length", "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"listed lengths", "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 5\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"unknown coding", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"two codings", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"space before colon", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"folded coding", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + inner, 1, []result.Code{0}},
		{"chunks in 1.0", "POST /open HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + inner, 1, []result.Code{0}},
		{"chunk size overflow", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"chunk without end", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n0\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"chunk extension with a bare line feed", "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;\nx\r\nx\r\n0\r\n\r\n" + inner, 0, []result.Code{result.RequestInvalid}},
		{"bare line feeds", "POST /open HTTP/1.1\nHost: h\nConnection: close\n\n" + inner, 1, []result.Code{0}},
		{"control in header", "GET /open HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"no host", "GET /open HTTP/1.1\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"two hosts", "GET /open HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"bad host", "GET /open HTTP/1.1\r\nHost: a b\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"not HTTP", "hello\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"version", "GET /open HTTP/3.0\r\nHost: h\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"huge header", "GET /open HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", 0, []result.Code{result.HeadersTooLarge}},
		{"unknown expectation", "POST /open HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\nContent-Length: 1\r\n\r\nx", 0, []result.Code{result.RequestInvalid}},
		{"connect", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\nConnection: close\r\n\r\n", 0, []result.Code{result.MethodRefused}},
		{"connect with a path", "CONNECT /open HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0, []result.Code{result.MethodRefused}},
		{"options of all", "OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"absolute form", "GET http://h/open HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n", 1, []result.Code{0}},
		{"absolute form of another scheme", "GET ftp://h/open HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0, []result.Code{result.RequestInvalid}},
		{"upgrade is ignored", "GET /open HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, close\r\nUpgrade: websocket\r\n\r\n", 1, []result.Code{0}},
		{"refusal keeps the connection", "POST /absent HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + strings.Replace(inner, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), 1, []result.Code{result.RouteNotFound, 0}},
		{"incomplete body", "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPipeline(t, nil, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Upgrade") != "" || r.URL.Host != "" || len(r.Header["Transfer-Encoding"]) > 0 {
					t.Errorf("forwarded to the backend server: %v %v", r.URL, r.Header)
				}
				ok(w, r)
			})
			raw := c.raw
			if c.codes == nil {
				p.sendAndClose(raw)
				is.Equal(p.runs.Load(), c.runs)
				return
			}
			got := p.sendRaw(raw)
			var codes []result.Code
			for _, o := range got {
				codes = append(codes, o.code)
				if o.code != 0 {
					is.Equal(o.run, result.NotRun)
					is.Equal(o.status, o.code.HTTPStatus())
				}
			}
			is.Equal(codes, c.codes)
			is.Equal(p.runs.Load(), c.runs)
		})
	}
}

// sendAndClose sends bytes on a new connection and closes it without reading.
func (p *pipeline) sendAndClose(raw string) {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, raw)
	_ = c.Close()
}

func TestSlowHeadGetsRequestTimeout(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok)
	p.listenWithLimits(t, func() entry.Limits {
		return entry.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	})
	got := p.sendRaw("GET /open HTTP/1.1\r\nHo")
	is.Equal(len(got), 1)
	is.Equal(got[0].code, result.RequestTimeout)
	is.Equal(got[0].run, result.NotRun)
	is.Equal(len(p.sendRaw("")), 0) // an idle connection is closed without a response
}

// listenWithLimits starts an entry side with these limits.
func (p *pipeline) listenWithLimits(t *testing.T, limits func() entry.Limits) {
	listen := func(l net.Listener) net.Listener { return entry.ListenWithLimits(l, limits) }
	h := entry.New(p.options)
	p.address = serve(t, entry.NewServer(h, h.MayRunTwice), listen).String()
}

// TestIdleLimitMayChangeWhileAConnectionIsIdle changes the limit while a connection is idle: the connection stays open
// as long as the limit in force allows, and is closed after that.
func TestIdleLimitMayChangeWhileAConnectionIsIdle(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok)
	var limit atomic.Int64
	limit.Store(int64(100 * time.Millisecond))
	p.listenWithLimits(t, func() entry.Limits { return entry.Limits{IdleTimeout: time.Duration(limit.Load())} })
	c, err := net.Dial("tcp", p.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	responses := bufio.NewReader(c)
	request := func() error {
		if _, err := io.WriteString(c, "GET /open HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return err
	}
	is.NoErr(request())
	limit.Store(int64(2 * time.Second))
	time.Sleep(300 * time.Millisecond)
	is.NoErr(request())
	limit.Store(int64(50 * time.Millisecond))
	is.NoErr(request())
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = responses.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

// TestHeaderTimeoutDoesNotApplyToBodies sends a body for longer than a head may take.
func TestHeaderTimeoutDoesNotApplyToBodies(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok)
	p.listenWithLimits(t, func() entry.Limits {
		return entry.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	})
	c, err := net.Dial("tcp", p.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	for range 4 {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, "x")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	_ = resp.Body.Close()
}

// TestHeaderLimitComesFromTheConfiguration checks that headers larger than the limit in force are refused.
func TestHeaderLimitComesFromTheConfiguration(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok)
	v := testConfig()
	v.Limits.HeaderBytes = 2000
	p.options.Config = func() *entry.Config { return v }
	p.listen(t)
	is.Equal(p.do("GET", "/open", "", "X", strings.Repeat("x", 1500)).status, 200)
	got := p.do("GET", "/open", "", "X", strings.Repeat("x", 2500))
	is.Equal(got.code, result.HeadersTooLarge)
}

// TestBackendSeesThePathOfTheRoute checks that a backend server gets exactly the path that the route was found for, or
// no request at all.
func TestBackendSeesThePathOfTheRoute(t *testing.T) {
	for target, want := range map[string]string{
		"/open": "/open", "/open?a=1;b=2&c=%zz": "/open?a=1;b=2&c=%zz", "/open?": "/open?", "/open/a%20b": "/open/a%20b",
		"/%6fpen/x": "/%6fpen/x", "/open/.x": "/open/.x", "/open/a..b": "/open/a..b", "/open/%252e%252e/x": "/open/%252e%252e/x",
		"/open/../keyed": "", "/open/%2e%2e/keyed": "", "/open/%2E./keyed": "", "/open//x": "", "//open": "", "/open/.": "",
		"/open%2fx": "", "/open/%2F..": "", "/open/\\..\\keyed": "", "/open/%5c": "", "/open;x/y": "", "/open/..;/keyed": "",
		"/open/%3b": "", "/open/%00": "", "/open/%0a": "", "/opened": "", "/Open": "",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			p := newPipeline(t, nil, ok)
			got := p.sendRaw("GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")[0]
			if want == "" {
				is.True(got.code == result.PathAmbiguous || got.code == result.RouteNotFound || got.code == result.RequestInvalid)
				is.Equal(p.runs.Load(), int32(0))
				return
			}
			is.Equal(got.body, "GET "+want+" ")
		})
	}
}

func TestResponsesArePassedOnUnchanged(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for _, c := range []struct {
		name, method string
		handler      http.HandlerFunc
		status       int
		length, body string
	}{
		{"head", "HEAD", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "123") }, 200, "123", ""},
		{"head without length", "HEAD", func(http.ResponseWriter, *http.Request) {}, 200, "", ""},
		{"no content", "POST", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, 204, "", ""},
		{"not modified", "GET", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Etag", "e"); w.WriteHeader(304) }, 304, "", ""},
		{"empty", "GET", func(http.ResponseWriter, *http.Request) {}, 200, "0", ""},
		{"early hints", "GET", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(103); _, _ = io.WriteString(w, "x") }, 200, "1", "x"},
		{"long", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "307200")
			_, _ = io.WriteString(w, long)
		}, 200, "307200", long},
		{"long in chunks", "GET", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }, 200, "", long},
		{"error with a body", "POST", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); _, _ = io.WriteString(w, "x") }, 500, "1", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := newPipeline(t, nil, c.handler).do(c.method, "/open", "")
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("Content-Length"), c.length)
			is.True(got.body == c.body)
		})
	}
}

func TestKeyAndInternalHeadersStayInside(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	p := newPipeline(t, nil, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Amaranth-Run", "not-run")
		w.Header().Set("Amaranth_Code", "4001")
		w.Header().Set("Trailer", "X-End, Amaranth-End")
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("X-End", "whole")
		w.Header().Set("Amaranth-End", "x")
	})
	for _, target := range []string{"/open", "/keyed"} {
		r, _ := http.NewRequest("GET", "http://"+p.address+target, nil)
		r.Header = http.Header{
			"Authorization": {"Bearer " + apiKey}, "Amaranth-Account": {"other"}, "amaranth_account": {"other"}, "X-Mine": {"1"},
			"Amaranth-Backend": {"9"}, "Amaranth-Exchange": {"mine"}, "Amaranth-Run": {"run"},
		}
		resp, err := client.RoundTrip(r)
		is.NoErr(err)
		got := readResponse(resp)
		is.Equal(got.status, 200)
		for name := range got.header {
			is.True(!strings.HasPrefix(strings.ReplaceAll(name, "_", "-"), "Amaranth-")) // in the response to the client
		}
		is.Equal(resp.Trailer, http.Header{"X-End": {"whole"}})
		is.Equal(seen.Get("X-Mine"), "1")
		for name, values := range seen {
			is.True(!strings.Contains(strings.Join(values, ""), apiKey))
			is.True(!strings.Contains(strings.Join(values, ""), "other"))
			is.True(!strings.HasPrefix(strings.ToLower(name), "amaranth_"))
		}
		is.Equal(seen.Get("Amaranth-Account"), map[string]string{"/open": "", "/keyed": "a"}[target])
	}
}

// TestLongResponseThatEndsEarlyBreaksTheConnection ends a response early after its buffered part was passed on: the
// client must be able to see that it is not whole.
func TestLongResponseThatEndsEarlyBreaksTheConnection(t *testing.T) {
	is := is.New(t)
	for _, length := range []string{"", "900000"} {
		p := newPipeline(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, strings.Repeat("x", 200<<10))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		got := p.do("GET", "/open", "")
		is.True(got.err != nil)
	}
}

// grantAll is an IdempotencyStore that lets every request run.
type grantAll struct{}

func (grantAll) Begin(context.Context, idempotency.Request) (*idempotency.Claim, *idempotency.Record, error) {
	return &idempotency.Claim{}, nil, nil
}

func (grantAll) Prefix(context.Context) (string, error) { return "a1.h-0.", nil }

func TestBackendServersSeeTheIdempotencyKey(t *testing.T) {
	is := is.New(t)
	var seen []string
	p := newPipeline(t, nil, func(_ http.ResponseWriter, r *http.Request) { seen = r.Header["Idempotency-Key"] })
	p.options.Idempotency = grantAll{}
	p.listen(t)
	is.Equal(p.do("POST", "/open", "x", "Idempotency-Key", "a1.h-0.mine").status, 200)
	is.Equal(seen, []string{"a1.h-0.mine"})
	prefix := p.do("GET", idempotency.KeyPrefixPath, "")
	is.Equal(prefix.body, "{\"prefix\":\"a1.h-0.\"}\n")
	is.Equal(prefix.run, result.NotRun)
	large := p.do("POST", "/open", strings.Repeat("x", 70<<10), "Idempotency-Key", "a1.h-0.mine")
	is.Equal(large.code, result.RequestTooLarge)
	is.Equal(p.runs.Load(), int32(1))
}

// TestHTTP10ClientsGetALength requests a chunked response with HTTP/1.0, which has no chunks: the response must have a
// Content-Length.
func TestHTTP10ClientsGetALength(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
	})
	got := p.sendRaw("GET /open HTTP/1.0\r\nHost: h\r\n\r\n")[0]
	is.Equal(got.header.Get("Content-Length"), "1")
	is.Equal(got.body, "x")
}

// TestStreamsAreNotHeldBackForLong reads the first part of a response while the backend server has not sent the rest.
func TestStreamsAreNotHeldBackForLong(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	p := newPipeline(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-more
		_, _ = io.WriteString(w, "second")
	})
	resp, err := http.Get("http://" + p.address + "/open")
	is.NoErr(err)
	first := make([]byte, 6)
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err)
	close(more)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(first)+string(rest), "first second")
}
