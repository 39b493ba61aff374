package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/link"
)

// resetting is a server that resets each connection as soon as it has read some of a request, and notes whether a whole one came.
func resetting(t *testing.T, answers int) (addr string, whole func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := make(chan struct{}, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for range answers {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests <- struct{}{}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
				_, _ = b.ReadByte()
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String(), func() int { return len(requests) }
}

func TestRequestWhoseHeadWasHeldBackWasNotRun(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			addr, whole := resetting(t, 0)
			transport := link.NewTransport(2, time.Minute)
			defer transport.CloseIdleConnections()
			r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
			is.NoErr(err)
			_, wrote, err := link.SendOnce(link.WithHeadHeldBack(t.Context()), transport, r)
			is.True(err != nil)
			is.True(!wrote)
			is.Equal(whole(), 0)
		})
	}
}

// TestForgottenConnectionIsReplaced sends on a connection that the server resets at the next request: the request goes out
// again on a new one, and arrives whole once.
func TestForgottenConnectionIsReplaced(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			addr, whole := resetting(t, 1)
			transport := link.NewTransport(2, time.Minute)
			defer transport.CloseIdleConnections()
			for n := range 6 {
				r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
				is.NoErr(err)
				e, _, err := link.SendOnce(link.WithHeadHeldBack(t.Context()), transport, r)
				is.NoErr(err)
				_, err = io.ReadAll(e.Response.Body)
				is.NoErr(err)
				e.Accept()
				is.NoErr(e.Response.Body.Close())
				is.Equal(whole(), n+1)
				time.Sleep(time.Millisecond) // the connection goes back to the pool
			}
		})
	}
}
