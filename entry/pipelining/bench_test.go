package pipelining_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"amaranthstile/entry/pipelining"
)

// BenchmarkSingleRequest sends one request after the other on a connection, with and without the pipelining layer, to a
// handler that responds at once.
func BenchmarkSingleRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for _, layer := range []bool{false, true} {
		name := map[bool]string{false: "alone", true: "pipelining"}[layer]
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			accepted := l
			if layer {
				accepted = pipelinedListener{l}
				p := &pipelining.Server{Handler: handler, MayOverlap: func(*http.Request) bool { return true }}
				s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
				s.ConnState = func(c net.Conn, state http.ConnState) {
					if state == http.StateIdle {
						c.(*pipelining.Conn).ExpectRequest()
					}
				}
				s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					p.Serve(r.Context().Value(connKey{}).(*pipelining.Conn), w, r)
				})
			}
			go func() { _ = s.Serve(accepted) }()
			defer func() { _ = s.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nRequest-Id: 9c41d07be2a35f68\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
