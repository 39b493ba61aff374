package pipelining

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"amaranthstile/internal/bytebudget"
)

const (
	// maxAheadRequests bounds the requests of one connection that are processed ahead of their turn.
	maxAheadRequests = 8
	// maxAheadBytes bounds what is read of one connection ahead of the server's reads.
	maxAheadBytes = 32 << 10
	// aheadReadBytes is the size of one read ahead of the server's reads.
	aheadReadBytes = 4 << 10
	// parsedCopies is how many copies of the headers a request that is processed ahead of its turn has.
	parsedCopies = 2
	// lingerTime bounds how long a connection takes in what the client still sends, after its last response.
	lingerTime = 500 * time.Millisecond
)

// Conn is a connection from a client. Its reads return the bytes of one request at a time. Like those of any connection
// of an http.Server, they are made by one goroutine at a time.
type Conn struct {
	net.Conn

	budget       *bytebudget.Conn
	pendingLease *bytebudget.Lease // of the bytes of pending
	head         headScanner       // of the request that the server reads

	mu      sync.Mutex
	opaque  bool            // requests can't be delimited any more; the server reads the connection as it is
	hasHead bool            // the server has read the whole head of its request
	unread  int64           // bytes of the request's body that the server has not read
	pending []byte          // bytes that were received and that the server has not read
	server  *Server         // nil before the first request
	front   *http.Request   // that the server processes, nil while it reads the next one
	handled bool            // the handler has returned for front
	ahead   []*aheadRequest // requests behind front that are processed, in the order of the connection
	ended   error           // why nothing more can be received, or nil
	short   bool            // the budget has no bytes left for pending
	charged int             // bytes that pendingLease has taken

	aheadHead headScanner // of the first request behind ahead
	started   int         // bytes of pending that belong to ahead
	scanned   int         // bytes of pending that belong to ahead or were passed to aheadHead
}

// NewConn returns a Conn on a connection that was accepted. What is read ahead of the server is taken from its budget, which
// may be nil.
func NewConn(c net.Conn, budget *bytebudget.Conn) *Conn {
	return &Conn{Conn: c, budget: budget, pendingLease: budget.Lease()}
}

// ExpectRequest tells that the response to the last request was written and that the server now awaits the next one. No
// read may be in progress.
func (c *Conn) ExpectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front, c.handled, c.hasHead = nil, false, false
	c.head.reset()
}

// StartedAhead reports whether the request that the server reads is processed already.
func (c *Conn) StartedAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	opaque, hasHead, unread, ended := c.opaque, c.hasHead, c.unread, c.ended
	c.mu.Unlock()
	switch {
	case ended != nil:
		return 0, ended
	case opaque:
		return c.readUndelimited(p)
	case !hasHead:
		return c.readHead(p)
	case unread > 0:
		return c.readBody(p[:min(int64(len(p)), unread)])
	}
	return c.readAhead(p)
}

// readUndelimited reads pending bytes, or else from the network.
func (c *Conn) readUndelimited(p []byte) (int, error) {
	if n := c.takePending(p); n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// readBody reads bytes of the body of the server's request.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.readUndelimited(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread -= int64(n)
	return n, err
}

// takePending moves pending bytes to p.
func (c *Conn) takePending(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pending)
	c.consume(n)
	return n
}

// consume drops pending bytes that the server has read. The calling function holds the lock.
func (c *Conn) consume(n int) {
	c.pending = c.pending[n:]
	c.scanned, c.started = max(c.scanned-n, 0), max(c.started-n, 0)
	if len(c.pending) == 0 {
		c.dropPending()
	}
}

// dropPending drops all pending bytes and gives back what they took of the budget. The calling function holds the lock.
func (c *Conn) dropPending() {
	c.pending, c.charged, c.short = nil, 0, false
	c.pendingLease.Release()
}

// keepPending adds bytes to the pending ones. Their buffer is taken from the budget as it grows; if that is used up, no
// further bytes are read ahead. The calling function holds the lock.
func (c *Conn) keepPending(b []byte) {
	c.pending = append(c.pending, b...)
	if grown := cap(c.pending) - c.charged; grown > 0 {
		c.charged += grown
		c.short = !c.pendingLease.Take(int64(grown), time.Now())
	}
}

// readHead reads bytes of the head of the next request, and of nothing behind it.
func (c *Conn) readHead(p []byte) (int, error) {
	n := c.peekPending(p)
	fromPending := n > 0
	if !fromPending {
		var err error
		if n, err = c.Conn.Read(p); n == 0 {
			return 0, err
		}
	}
	used, complete := c.head.scan(p[:n])
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.opaque {
		c.opaque, used = true, n
	}
	if fromPending {
		c.consume(used)
	} else if used < n {
		c.pending = bytes.Clone(p[used:n])
	}
	if complete {
		c.hasHead, c.unread = true, c.head.bodyLength
	}
	if complete && len(c.ahead) == 0 {
		c.scanned = 0 // what was scanned ahead is the head of this request
		c.aheadHead.reset()
	}
	return used, nil
}

// peekPending copies pending bytes to p without dropping them.
func (c *Conn) peekPending(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return copy(p, c.pending)
}

// readAhead receives what follows the request that the server processes, and starts the requests in it. Like a read of
// an idle connection, it returns only when the connection ends, when its read deadline passes, or with bytes for the
// server once too many have been received. If that is before the server has passed its request to the handler, it returns
// none: begin starts the requests then.
func (c *Conn) readAhead(p []byte) (int, error) {
	buffer := p[:min(len(p), 1)] // no larger buffer is needed for connections without pipelining
	for {
		c.mu.Lock()
		c.startAhead()
		full, early := len(c.pending) >= maxAheadBytes || c.short, c.front == nil
		c.opaque = c.opaque || full && !early
		c.mu.Unlock()
		switch {
		case full && early:
			return 0, nil
		case full:
			return c.takePending(p), nil
		}
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.keepPending(buffer[:n])
		c.mu.Unlock()
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.end(err)
			}
			return 0, err
		}
		if len(buffer) < aheadReadBytes {
			buffer = make([]byte, aheadReadBytes)
		}
	}
}

// begin tells that the server has read a request and passed it to the handler. It returns the processing of this request
// if it was started ahead of its turn.
func (c *Conn) begin(s *Server, r *http.Request) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server, c.front = s, r
	var a *aheadRequest
	if len(c.ahead) > 0 {
		a = c.ahead[0]
		c.ahead = slices.Delete(c.ahead, 0, 1)
		if !a.sameRequest(r) {
			a.cancel()
			c.cancelAhead()
			c.opaque = true
			a = nil
		}
	}
	c.startAhead()
	return a
}

// startAhead starts the requests that were received whole and that may be processed beside all before them. The calling
// function holds the lock.
func (c *Conn) startAhead() {
	if c.front == nil || c.opaque || c.ended != nil || c.unread > 0 {
		return
	}
	for len(c.ahead) < maxAheadRequests && c.scanned < len(c.pending) && !c.aheadHead.opaque {
		n, complete := c.aheadHead.scan(c.pending[c.scanned:])
		c.scanned += n
		if !complete {
			return
		}
		r, lease := c.parseAhead(c.pending[c.started:c.scanned])
		c.aheadHead.reset()
		if r == nil || !c.server.start(c, r, lease) {
			lease.Close()
			c.aheadHead.opaque = true // this request and all behind it wait for their turn
			return
		}
		c.started = c.scanned
	}
}

// parseAhead parses the head of a request and takes what that costs from the budget, or returns nil if the request has to
// wait for its turn.
func (c *Conn) parseAhead(head []byte) (*http.Request, *bytebudget.Lease) {
	if c.aheadHead.bodyLength > 0 || !c.server.MayOverlap(c.front) {
		return nil, nil
	}
	lease := c.budget.Lease()
	if !lease.Take(parsedCopies*bytebudget.HeadBytes(len(head), c.aheadHead.lines), time.Now()) {
		return nil, nil
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !httpguts.ValidHostHeader(r.Host) || r.Host == "" || !c.server.MayOverlap(r) {
		return nil, lease
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return r.WithContext(context.WithoutCancel(c.front.Context())), lease
}

// end ends the processing of the requests that the server has not reached, since nobody reads their responses.
func (c *Conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = err
	c.dropPending()
	c.cancelAhead()
}

// cancelAhead cancels the requests that are processed ahead of their turn. The calling function holds the lock.
func (c *Conn) cancelAhead() {
	for _, a := range c.ahead {
		a.cancel()
	}
	c.ahead = nil
}

// finish tells that the handler has returned for the server's request.
func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// Close implements net.Conn. Behind a response, it first takes in what the client still sends: a connection that is closed
// with unread bytes is reset, and the client loses what it has not read of the response.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.handled && c.ended == nil
	c.mu.Unlock()
	c.end(net.ErrClosed)
	if lingers {
		c.linger()
	}
	return c.Conn.Close()
}

// linger closes the outgoing direction and drops what arrives, until the client closes its side or lingerTime has passed.
func (c *Conn) linger() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // the connection is gone
	}
	_, _ = io.Copy(io.Discard, c.Conn) // it ends in any case, and nobody is left to hear how
}

// CloseWrite closes the outgoing direction, so that the client can read the last response.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}
