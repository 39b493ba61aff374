package link_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/link"
)

// resetting is a server that answers some requests on each connection and resets it as soon as it has read some of one more. It
// notes how many whole requests came. The transport's connections wait for the reset when it is due.
func resetting(t *testing.T, answers int) (addr string, whole func() int, transport *http.Transport) {
	t.Helper()
	network := &resetNetwork{answers: answers, resets: make(map[string]chan struct{})}
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
				defer func() {
					_ = c.Close()
					close(network.of(c.RemoteAddr().String()))
				}()
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
	transport = link.NewTransportOver(network, 2, time.Minute)
	t.Cleanup(transport.CloseIdleConnections)
	return l.Addr().String(), func() int { return len(requests) }, transport
}

func TestRequestWhoseHeadWasHeldBackWasNotRun(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			addr, whole, transport := resetting(t, 0)
			r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
			is.NoErr(err)
			_, wrote, err := link.SendOnce(link.WithDelayedHeadEnd(t.Context()), transport, r)
			is.True(err != nil)
			is.True(!wrote)
			is.Equal(whole(), 0)
		})
	}
}

// resetNetwork lets a write that begins the request which the server resets return only once the reset is there, so that the
// test does not depend on how soon the server runs.
type resetNetwork struct {
	link.SystemNetwork
	answers int // of the server on a connection

	mu     sync.Mutex
	resets map[string]chan struct{} // by the address of the connection's client
}

func (n *resetNetwork) of(client string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.resets[client]
	if c == nil {
		c = make(chan struct{})
		n.resets[client] = c
	}
	return c
}

func (n *resetNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.SystemNetwork.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &resetConn{TCPConn: c.(*net.TCPConn), left: n.answers, reset: n.of(c.LocalAddr().String())}, nil
}

type resetConn struct {
	*net.TCPConn
	left  int
	reset chan struct{}
}

func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if bytes.HasPrefix(p, []byte(http.MethodPost)) {
		if c.left--; c.left < 0 {
			<-c.reset
		}
	}
	return n, err
}

// TestForgottenConnectionIsReplaced sends on a connection that the server resets at the next request: the request goes out
// again on a new one, and arrives whole once.
func TestForgottenConnectionIsReplaced(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			addr, whole, transport := resetting(t, 1)
			for n := range 6 {
				r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
				is.NoErr(err)
				e, _, err := link.SendOnce(link.WithDelayedHeadEnd(t.Context()), transport, r)
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
