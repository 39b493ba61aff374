// Package operator is the operators' side of the administration address: a client, and the command line on top
// of it.
//
// Every refusal of an instance comes back as an error with the instance's result code and message. A ticket is
// idempotent by its number, so a submission whose outcome is unknown is sent again unchanged.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"amaranthstile/instance"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

const (
	callTimeout    = 30 * time.Second
	maxReplyBytes = 256 << 20
	firstBackoff     = 200 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Client makes calls to one instance.
type Client struct {
	// Address is the administration address, IP:PORT.
	Address string
	// Key is the operator's key.
	Key string
	// MaxRetryWait bounds how long Submit goes on while the outcome is unknown.
	MaxRetryWait time.Duration
	// HTTP sends the calls; default a client without a proxy.
	HTTP *http.Client
	// Sleep waits between tries of Submit; default time.Sleep.
	Sleep func(time.Duration)
}

// Submit sends a ticket until it is known whether it was accepted, or until the pauses reach Patience; then the
// error carries TicketOutcomeUnknown.
func (c *Client) Submit(ctx context.Context, data []byte) (record ticket.Record, err error) {
	open := false
	waited := time.Duration(0)
	for pause := firstBackoff; ; pause = min(2*pause, maxBackoff) {
		err := c.call(ctx, http.MethodPost, instance.PathTickets, data, &record)
		if err == nil || (!open && !mayBeAccepted(err)) || (open && !mayBeAccepted(err) && !isTransient(err)) {
			return record, err
		}
		open = true
		if waited+pause > c.MaxRetryWait || ctx.Err() != nil {
			return ticket.Record{}, result.Wrap(result.TicketOutcomeUnknown, err, "not known after %v whether it was accepted; send it again unchanged (%s)", waited, result.MessageOf(err))
		}
		c.sleep(pause)
		waited += pause
	}
}

func (c *Client) sleep(d time.Duration) {
	if c.Sleep != nil {
		c.Sleep(d)
		return
	}
	time.Sleep(d)
}

// mayBeAccepted reports whether a submission may have been accepted in spite of err.
func mayBeAccepted(err error) bool {
	return result.Is(err, result.TicketOutcomeUnknown) || result.Is(err, result.LinkBroken)
}

// isTransient reports whether the same call may succeed later.
func isTransient(err error) bool {
	switch result.CodeOf(err) {
	case result.PlatformUnavailable, result.PlatformLimited, result.PlatformConflict, result.PlatformOutcomeUnknown, result.PlatformProtocol,
		result.SnapshotMissing, result.LinkUnreachable, result.LinkBroken, result.NotReady, result.ShuttingDown, result.NoStanding:
		return true
	}
	return false
}

// Check asks whether a ticket may be accepted; the record is zero if it may, and otherwise that of its acceptance.
func (c *Client) Check(ctx context.Context, data []byte) (record ticket.Record, err error) {
	return record, c.call(ctx, http.MethodPost, instance.PathCheckTicket, data, &record)
}

// Show returns the record of an accepted ticket.
func (c *Client) Show(ctx context.Context, number uint64) (record ticket.Record, err error) {
	return record, c.call(ctx, http.MethodGet, instance.PathTickets+"/"+strconv.FormatUint(number, 10), nil, &record)
}

// State returns the instance's dump.
func (c *Client) State(ctx context.Context) (s instance.State, err error) {
	return s, c.call(ctx, http.MethodGet, instance.PathState, nil, &s)
}

// Backends returns the backend servers of a service, or of all for "".
func (c *Client) Backends(ctx context.Context, service string) (rows []instance.BackendRow, err error) {
	q := url.Values{"service": {service}}
	return rows, c.call(ctx, http.MethodGet, instance.PathBackends+"?"+q.Encode(), nil, &rows)
}

// Accounts returns the client accounts whose names start with prefix.
func (c *Client) Accounts(ctx context.Context, prefix string) (rows []instance.AccountRow, err error) {
	q := url.Values{"prefix": {prefix}}
	return rows, c.call(ctx, http.MethodGet, instance.PathAccounts+"?"+q.Encode(), nil, &rows)
}

// call makes one call. LinkUnreachable says that nothing was sent, LinkBroken that no whole answer came.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.OperatorUsage, err, "%q is no address", c.Address)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http().Do(req)
	if err != nil && !sent {
		return result.Wrap(result.LinkUnreachable, err, "%s takes no connection: %v", c.Address, err)
	}
	if err != nil {
		return result.Wrap(result.LinkBroken, err, "%s did not answer: %v", c.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return result.Wrap(result.LinkBroken, err, "the answer of %s broke off", c.Address)
	}
	return decode(resp.StatusCode, data, into)
}

func decode(status int, data []byte, into any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, into); err != nil {
			return result.Wrap(result.LinkBroken, err, "the answer can't be read")
		}
		return nil
	}
	var refusal link.Refusal
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Code == result.OK {
		return result.New(result.LinkBroken, "answered %d without a result code", status)
	}
	return result.New(refusal.Code, "%s", refusal.Message)
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
