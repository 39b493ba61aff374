package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
)

// Client sends requests of one client account and checks the answers.
type Client struct {
	// Key is the client account's key, "" for none.
	Key string
	// Name is part of every request's body, so that its runs can be counted.
	Name string

	client *http.Client
	next   atomic.Uint64
}

// NewClient returns a caller with connections of its own.
func NewClient(name, key string) *Client {
	return &Client{Key: key, Name: name, client: &http.Client{Transport: link.NewTransport(callerIdleConns, callerIdleTime)}}
}

const (
	callerIdleConns = 32
	callerIdleTime  = 30 * time.Second
	// answerTime is what a caller leaves of its own time limit for the answer to arrive.
	answerTime = time.Second
)

// Call is one request and what came of it.
type Call struct {
	// ID is the request's own body, which the stand-ins count and repeat.
	ID     string
	Method string
	Status int
	// Code and Run are those of an answer that the fleet itself made; Code is OK on other answers.
	Code result.Code
	Run  result.RunStatus
	// Complete says that a backend server's answer came whole and repeats this request.
	Complete bool
	// Err is set when no answer came.
	Err error
}

// Send makes one request to the callers' address of an instance. An answer of a stand-in repeats the request's path
// and body, by which Send sees whether it is the whole answer to this request.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, method, path string) Call {
	id := fmt.Sprintf("%s-%d", c.Name, c.next.Add(1))
	call := Call{ID: id, Method: method, Run: result.MayHaveRun}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, strings.NewReader(id))
	if err != nil {
		call.Err = err
		return call
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(link.HeaderTimeout, strconv.FormatInt((time.Until(deadline)-answerTime).Milliseconds(), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		call.Err = err
		return call
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	call.Err = err
	call.read(resp, string(body), path)
	return call
}

// read takes over what the answer says.
func (c *Call) read(resp *http.Response, body, path string) {
	c.Status = resp.StatusCode
	if n, err := strconv.Atoi(resp.Header.Get(link.HeaderCode)); err == nil {
		c.Code = result.Code(n)
		c.Run = result.RunStatus(resp.Header.Get(link.HeaderRun))
		return
	}
	c.Run = result.Ran
	c.Complete = c.Err == nil && strings.HasSuffix(body, " "+path+" "+c.ID+"\n")
}

// Succeeded reports whether the caller got what it asked for.
func (c Call) Succeeded() bool { return c.Complete && c.Status == http.StatusOK }
