package sidecar_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipelinedClient sends batches of requests ahead on one connection after the other.
type pipelinedClient struct {
	address  string
	answered atomic.Int64
	cut      atomic.Int64 // connections that ended before a response that was due, without having asked the client to leave
	failed   atomic.Int64 // responses other than 200
}

// batchSize is how many requests a client sends before it reads the first response.
const batchSize = 3

// run sends batches until the server accepts no more connections.
func (c *pipelinedClient) run(t *testing.T) {
	for {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
			return
		}
		c.useConnection(conn)
		_ = conn.Close()
	}
}

// useConnection sends batches on a connection until a response closes it or it ends.
func (c *pipelinedClient) useConnection(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(conn, strings.Repeat("GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n", batchSize)); err != nil {
			return // closed while idle: nothing was read
		}
		for n := range batchSize {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if err != nil {
				if n > 0 {
					c.cut.Add(1) // the connection carried a request of this batch, so that it was not idle
				}
				return
			}
			c.answered.Add(1)
			if resp.StatusCode != http.StatusOK {
				c.failed.Add(1)
			}
			if resp.Close {
				return // what was sent behind it counts as not read
			}
		}
	}
}

// TestPlannedStopAnswersPipelinedRequests stops an instance while clients send requests ahead on its connections: each
// request is answered, or a response before it asked the client to leave.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 2)
	for _, node := range nodes {
		node.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(20 * time.Millisecond) })
	}
	client := &pipelinedClient{address: nodes[0].settings.Clients.String()}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { client.run(t) })
	}
	eventually(t, 5*time.Second, "requests are answered", func() bool { return client.answered.Load() > 100 })
	nodes[0].Stop()
	wg.Wait()
	is.Equal(client.failed.Load(), int64(0))
	is.Equal(client.cut.Load(), int64(0))
}

// TestPlannedStopDeliversALargeResponseBeforeOthers guards against a response that is cut by a reset during a planned stop,
// because the client has sent another request behind it.
func TestPlannedStopDeliversALargeResponseBeforeOthers(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 2)
	for _, node := range nodes {
		node.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, strings.Repeat(" ", size))
		})
	}
	var clients sync.WaitGroup
	var stopped sync.WaitGroup
	stopped.Go(nodes[0].Stop)
	time.Sleep(200 * time.Millisecond)
	for range 6 {
		clients.Go(func() {
			conn, err := net.Dial("tcp", nodes[0].settings.Clients.String())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n"+
				"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(50 * time.Millisecond) // the client is slower than the server
			if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
				t.Errorf("%d bytes of the response arrived: %v", n, err)
			}
		})
	}
	clients.Wait()
	stopped.Wait()
	is.Equal(nodes[0].Ready(), false)
}
