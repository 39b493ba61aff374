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

// startResetServer starts a server that responds to a number of requests on each connection, and resets the
// connection as soon as it has read the first byte of one more. received returns the number of complete requests.
// Connections of the transport wait for a reset that is due.
func startResetServer(t *testing.T, responses int) (addr string, received func() int, transport *http.Transport) {
	t.Helper()
	network := &resetNetwork{responses: responses, resets: make(map[string]chan struct{})}
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
					close(network.resetChan(c.RemoteAddr().String()))
				}()
				b := bufio.NewReader(c)
				for range responses {
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
	transport = link.NewTransportWithNetwork(network, 2, time.Minute)
	t.Cleanup(transport.CloseIdleConnections)
	return l.Addr().String(), func() int { return len(requests) }, transport
}

func TestResetBeforeDelayedHeadEndMeansNotSent(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			addr, received, transport := startResetServer(t, 0)
			r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
			is.NoErr(err)
			_, wrote, err := link.SendOnce(link.WithDelayedHeadEnd(t.Context()), transport, r)
			is.True(err != nil)
			is.True(!wrote)
			is.Equal(received(), 0)
		})
	}
}

// resetNetwork delays the return of the write that begins the request on which the server resets the connection,
// until the reset has happened. The test then does not depend on how soon the server runs.
type resetNetwork struct {
	link.SystemNetwork
	responses int // responses of the server per connection

	mu     sync.Mutex
	resets map[string]chan struct{} // by client address
}

// resetChan returns the channel that is closed when the connection of the client address is reset.
func (n *resetNetwork) resetChan(client string) chan struct{} {
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
	return &resetConn{TCPConn: c.(*net.TCPConn), remaining: n.responses, reset: n.resetChan(c.LocalAddr().String())}, nil
}

// resetConn is a connection of a resetNetwork.
type resetConn struct {
	*net.TCPConn
	remaining int // responses until the reset
	reset     chan struct{}
}

func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if bytes.HasPrefix(p, []byte(http.MethodPost)) {
		if c.remaining--; c.remaining < 0 {
			<-c.reset
		}
	}
	return n, err
}

// TestStaleConnectionIsReplaced sends a request on a connection that the server resets at the next request. The
// request is sent again on a new connection and arrives complete exactly once.
func TestStaleConnectionIsReplaced(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			addr, received, transport := startResetServer(t, 1)
			for n := range 6 {
				r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
				is.NoErr(err)
				e, _, err := link.SendOnce(link.WithDelayedHeadEnd(t.Context()), transport, r)
				is.NoErr(err)
				_, err = io.ReadAll(e.Response.Body)
				is.NoErr(err)
				e.Accept()
				is.NoErr(e.Response.Body.Close())
				is.Equal(received(), n+1)
				time.Sleep(time.Millisecond) // the connection returns to the pool
			}
		})
	}
}
