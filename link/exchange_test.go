package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/link"
)

// rawServer responds to request number n, counted from 1, with response(n). An empty response closes the
// connection. With early set, it responds without reading the request body.
type rawServer struct {
	net.Listener
	requests, conns atomic.Int32
	early           bool
	response        func(n int32) string
}

func newRawServer(t *testing.T, early bool, response func(n int32) string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{Listener: l, early: early, response: response}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n := s.requests.Add(1)
		if !s.early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		out := s.response(n)
		if _, err := io.WriteString(c, out); err != nil || out == "" {
			return
		}
	}
}

func (s *rawServer) request(method, body string, h http.Header) *http.Request {
	r, _ := http.NewRequest(method, "http://"+s.Addr().String()+"/", strings.NewReader(body))
	if body == "" {
		r.Body, r.GetBody = http.NoBody, nil
	}
	if h != nil {
		r.Header = h.Clone()
	}
	return r
}

const (
	okResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// acceptAndRead accepts the response of an exchange and reads it to its end.
func acceptAndRead(e *link.Exchange) {
	e.Accept()
	_, _ = io.Copy(io.Discard, e.Response.Body)
	_ = e.Response.Body.Close()
}

func TestNoRequestIsSentTwice(t *testing.T) {
	for _, c := range []struct {
		method, body string
		header       http.Header
	}{
		{"GET", "", nil},
		{"HEAD", "", nil},
		{"OPTIONS", "", nil},
		{"TRACE", "", nil},
		{"GET", "body", nil},
		{"POST", "", nil},
		{"POST", "body", nil},
		{"DELETE", "", nil},
		{"POST", "", http.Header{"Idempotency-Key": {"k"}}},
		{"POST", "body", http.Header{"Idempotency-Key": {"k"}}},
		{"PUT", "body", http.Header{"X-Idempotency-Key": {"k"}}},
		{"GET", "", http.Header{"Idempotency-Key": {"k"}}},
	} {
		t.Run(c.method+" "+c.body, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, false, func(n int32) string {
				if n == 1 {
					return emptyResponse
				}
				return "" // the reused connection closes without a response
			})
			tr := link.NewTransport(4, time.Minute)
			e, _, err := link.SendOnce(context.Background(), tr, s.request("POST", "", nil))
			is.NoErr(err)
			acceptAndRead(e)
			_, wrote, err := link.SendOnce(context.Background(), tr, s.request(c.method, c.body, c.header))
			is.True(err != nil)
			is.True(wrote)                        // the request may have run
			is.Equal(s.requests.Load(), int32(2)) // and was not sent again
			is.Equal(s.conns.Load(), int32(1))    // on the reused connection
		})
	}
}

func TestUncleanExchangeClosesTheConnection(t *testing.T) {
	longBody := strings.Repeat("x", 8<<20)
	for _, c := range []struct {
		name, body, response string
		early                bool
		end                  func(cancel func(), e *link.Exchange)
		conns                int32
	}{
		{"good", "", okResponse, false, func(_ func(), e *link.Exchange) { acceptAndRead(e) }, 1},
		{"good and empty", "", emptyResponse, false, func(_ func(), e *link.Exchange) { acceptAndRead(e) }, 1},
		{"informational first", "", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, false, func(_ func(), e *link.Exchange) { acceptAndRead(e) }, 1},
		{"not accepted", "", okResponse, false, func(_ func(), e *link.Exchange) { _ = e.Response.Body.Close() }, 2},
		{"empty and not accepted", "", emptyResponse, false, func(_ func(), e *link.Exchange) { _ = e.Response.Body.Close() }, 2},
		{"not read", "", okResponse, false, func(_ func(), e *link.Exchange) { e.Accept(); _ = e.Response.Body.Close() }, 2},
		{"cancelled", "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, func(cancel func(), e *link.Exchange) { cancel(); acceptAndRead(e) }, 2},
		{"early", longBody, okResponse, true, func(_ func(), e *link.Exchange) { acceptAndRead(e) }, 2},
		{"early and empty", longBody, emptyResponse, true, func(_ func(), e *link.Exchange) { acceptAndRead(e) }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, c.early, func(n int32) string {
				if n == 1 {
					return c.response
				}
				return okResponse
			})
			tr := link.NewTransport(4, time.Minute)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			e, _, err := link.SendOnce(ctx, tr, s.request("POST", c.body, nil))
			is.NoErr(err)
			c.end(cancel, e)
			e, _, err = link.SendOnce(context.Background(), tr, s.request("GET", "", nil))
			is.NoErr(err)
			acceptAndRead(e)
			is.Equal(s.conns.Load(), c.conns)
		})
	}
}

func TestConnectionIsNotReusedBeforeAccept(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, false, func(int32) string { return emptyResponse })
	tr := link.NewTransport(1, time.Minute)
	first, _, err := link.SendOnce(context.Background(), tr, s.request("GET", "", nil))
	is.NoErr(err)
	next := make(chan error)
	go func() {
		e, _, err := link.SendOnce(context.Background(), tr, s.request("GET", "", nil))
		if err == nil {
			acceptAndRead(e)
		}
		next <- err
	}()
	_ = first.Response.Body.Close() // the response belongs to another request, so it is not accepted
	is.NoErr(<-next)
	is.Equal(s.requests.Load(), int32(2))
	is.Equal(s.conns.Load(), int32(2)) // the connection of the unaccepted response carried one request only
}

func TestSendOnceReportsNothingWritten(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &rawServer{Listener: l}
	r := s.request("POST", "body", nil)
	_ = l.Close()
	_, wrote, err := link.SendOnce(context.Background(), link.NewTransport(1, time.Minute), r)
	is.True(err != nil)
	is.True(!wrote)
}

func TestReservedHeadersAreNotCopied(t *testing.T) {
	is := is.New(t)
	to := make(http.Header)
	link.CopyEndToEnd(to, http.Header{
		"Amaranth-Account": {"x"}, "amaranth-run": {"x"}, "Amaranth_Account": {"x"}, "AMARANTH_code": {"x"},
		"Connection": {"X-Private, keep-alive"}, "X-Private": {"x"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"x"},
		"Proxy-Authorization": {"x"}, "X-Passes": {"yes"},
	})
	is.Equal(to, http.Header{"X-Passes": {"yes"}})
}
