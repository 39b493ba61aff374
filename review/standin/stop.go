package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// largeAnswer is the size of the answer to a request whose path ends with largePath.
	largeAnswer = 300_000
	largePath   = "/large"
	// pipelinedBody is the size of the body of the request that a client sends ahead.
	pipelinedBody = 100_000
	// pipeliningClients is how many clients send a request ahead.
	pipeliningClients = 6
)

// lostWatch checks the rule LOST for the requests of clients that send a request ahead.
type lostWatch struct {
	record *record
	mu     sync.Mutex
	ran    map[string]bool
}

// arrived records a run.
func (l *lostWatch) arrived(x run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.add("%s runs at %s", x.id, x.endpoint.id)
	l.ran[x.id] = true
}

// hasRun reports whether a request ran.
func (l *lostWatch) hasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// requestHead returns the head of a request.
func requestHead(method, path, id string, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 3000\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", method, path, id, oneTenant.key, length)
}

// pipeliningClient is a client with a kept channel.
type pipeliningClient struct {
	watch   *lostWatch
	machine *machine
	conn    net.Conn
	in      *bufio.Reader
}

// read reads the answer to a request. It returns whether the answer is whole, and whether it asks to close the channel.
func (c *pipeliningClient) read(method, id string) (whole, closes bool) {
	r := c.watch.record
	request, err := http.NewRequest(method, "http://orders.example/", nil)
	if err != nil {
		return false, true
	}
	resp, err := http.ReadResponse(c.in, request)
	if err != nil {
		r.add("%s: the channel ends without an answer: %v", id, err)
		return false, true
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.add("%s is answered %d with %d bytes of %d, asks to close: %v, error: %v", id, resp.StatusCode, n, resp.ContentLength, resp.Close, err)
	return err == nil, resp.Close
}

// first sends one small request, so that the channel is a kept one.
func (c *pipeliningClient) first() error {
	id := newRequestID()
	if _, err := io.WriteString(c.conn, requestHead(http.MethodGet, "/safe/small", id, 0)); err != nil {
		return err
	}
	if whole, closes := c.read(http.MethodGet, id); !whole || closes {
		return fmt.Errorf("%s is not answered, or the channel is not kept", id)
	}
	return nil
}

// sendAhead sends a safe request with a large answer and, without awaiting that, one with a body behind it.
func (c *pipeliningClient) sendAhead() {
	r := c.watch.record
	ids := []string{newRequestID(), newRequestID()}
	methods := []string{http.MethodGet, http.MethodPost}
	r.add("%s (safe) and %s (unsafe, behind it) are sent on a kept channel to %s", ids[0], ids[1], c.machine.name)
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	go func() {
		_, _ = io.WriteString(c.conn, requestHead(methods[0], "/safe/x"+largePath, ids[0], 0)+
			requestHead(methods[1], "/unsafe/x", ids[1], pipelinedBody)+strings.Repeat("b", pipelinedBody))
	}()
	closes := false
	for n, id := range ids {
		whole := false
		if !closes {
			whole, closes = c.read(methods[n], id)
		}
		if !whole && c.watch.hasRun(id) {
			r.breaks("LOST: %s was passed on to an endpoint, and the channel ends without a whole answer to it", id)
		}
	}
}

// runStopPipeline stops a machine as planned while clients send a request ahead on their kept channels.
func runStopPipeline(r *record, trouble bool) error {
	watch := &lostWatch{record: r, ran: make(map[string]bool)}
	f, err := newFleet(r, []string{"orders", "orders", "orders", "orders"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.configure([]string{"orders"}, []tenant{oneTenant}); err != nil {
		return err
	}
	for i, m := range f.machines {
		if _, err := newEndpoint(m, fmt.Sprintf("i-%08x", i+1), time.Now(), 3, workTime, watch.arrived); err != nil {
			return err
		}
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	stopped := f.machines[0]
	var clients []*pipeliningClient
	for range pipeliningClients {
		conn, err := net.Dial("tcp", stopped.address("outbound"))
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		c := &pipeliningClient{watch: watch, machine: stopped, conn: conn, in: bufio.NewReader(conn)}
		if err := c.first(); err != nil {
			return err
		}
		clients = append(clients, c)
	}
	var running sync.WaitGroup
	if trouble {
		running.Go(func() { stopped.end(syscall.SIGTERM) })
	}
	time.Sleep(500 * time.Millisecond)
	for _, c := range clients {
		running.Go(c.sendAhead)
	}
	running.Wait()
	return nil
}
