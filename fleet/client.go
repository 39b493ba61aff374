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

	"amaranthstile/internal/httpclient"
	"amaranthstile/link"
	"amaranthstile/result"
)

// Client sends requests of one client account and checks the responses.
type Client struct {
	// Key is the API key of the client account. If it is empty, requests carry no key.
	Key string
	// Name is a prefix of every request's body, so that the backend servers can count how often each request runs.
	Name string

	client *http.Client
	lastID atomic.Uint64
}

// NewClient returns a client with its own connection pool.
func NewClient(name, key string) *Client {
	return &Client{Key: key, Name: name, client: &http.Client{Transport: httpclient.Checked(link.NewTransport(clientIdleConns, clientIdleTimeout))}}
}

const (
	clientIdleConns   = 32
	clientIdleTimeout = 30 * time.Second
	// responseMargin is the part of the client's deadline that is reserved for the response to travel back. The request's
	// timeout header carries the rest.
	responseMargin = time.Second
)

// Call is one request and its outcome.
type Call struct {
	// ID is the request's body and unique within its client. The stand-ins count requests by it and return it in the
	// response.
	ID     string
	Method string
	Status int
	// Code and Run are the result code and the run status of a response that the fleet itself generated. Code is OK on
	// a response of a backend server.
	Code result.Code
	Run  result.RunStatus
	// Complete reports whether a backend server's response arrived in full and belongs to this request.
	Complete bool
	// Err is the error if no response arrived or its body could not be read in full.
	Err error
}

// Send sends one request to an instance's address for clients. The response of a stand-in contains the request's path
// and body, which shows whether it is the complete response to this request.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, method, path string) Call {
	id := fmt.Sprintf("%s-%d", c.Name, c.lastID.Add(1))
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
		req.Header.Set(link.HeaderTimeout, strconv.FormatInt((time.Until(deadline)-responseMargin).Milliseconds(), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		call.Err = err
		return call
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	call.Err = err
	call.parse(resp, string(body), path)
	return call
}

// parse sets the fields of the call from the response.
func (c *Call) parse(resp *http.Response, body, path string) {
	c.Status = resp.StatusCode
	if n, err := strconv.Atoi(resp.Header.Get(link.HeaderCode)); err == nil {
		c.Code = result.Code(n)
		c.Run = result.RunStatus(resp.Header.Get(link.HeaderRun))
		return
	}
	c.Run = result.Ran
	c.Complete = c.Err == nil && strings.HasSuffix(body, " "+path+" "+c.ID+"\n")
}

// Succeeded reports whether the client received the complete response to its request with status 200.
func (c Call) Succeeded() bool { return c.Complete && c.Status == http.StatusOK }
