// Package operator provides a client for the administration address of instances, and the command line that is built
// on it.
//
// A refusal by an instance is returned as an error with the instance's result code and message. A ticket is
// idempotent by its number, so a submission whose outcome is unknown is retried unchanged.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"amaranthstile/instance"
	"amaranthstile/internal/httpclient"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

const (
	callTimeout   = 30 * time.Second
	maxReplyBytes = 256 << 20
	firstBackoff  = 200 * time.Millisecond
	maxBackoff    = 2 * time.Second
)

// Client calls one instance.
type Client struct {
	// Address is the administration address, as IP:PORT.
	Address string
	// Key is the operator's key.
	Key string
	// MaxRetryWait bounds the total time that Submit waits between attempts while the outcome is unknown.
	MaxRetryWait time.Duration
	// HTTP sends the calls; the default is a client that uses no proxy.
	HTTP *http.Client
	// Sleep waits between the attempts of Submit; the default is time.Sleep.
	Sleep func(time.Duration)
}

// Submit sends a ticket. Once an attempt leaves the outcome unknown, it retries until the outcome is known, or until
// the waits between the attempts would exceed MaxRetryWait; the error then carries TicketOutcomeUnknown.
func (c *Client) Submit(ctx context.Context, data []byte) (record ticket.Record, err error) {
	outcomeUnknown := false
	waited := time.Duration(0)
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := c.call(ctx, http.MethodPost, instance.PathTickets, data, &record)
		if err == nil || (!outcomeUnknown && !mayBeAccepted(err)) || (outcomeUnknown && !mayBeAccepted(err) && !isTransient(err)) {
			return record, err
		}
		outcomeUnknown = true
		if waited+backoff > c.MaxRetryWait || ctx.Err() != nil {
			return ticket.Record{}, result.Wrap(result.TicketOutcomeUnknown, err, "it is unknown after %v whether the ticket was accepted; submit it again unchanged (%s)", waited, result.MessageOf(err))
		}
		c.sleep(backoff)
		waited += backoff
	}
}

func (c *Client) sleep(d time.Duration) {
	if c.Sleep != nil {
		c.Sleep(d)
		return
	}
	time.Sleep(d)
}

// mayBeAccepted reports whether a submission may have been accepted despite err.
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

// Check asks whether a ticket can be accepted. The record is that of its acceptance if it was accepted before, and
// zero if it can be accepted now.
func (c *Client) Check(ctx context.Context, data []byte) (record ticket.Record, err error) {
	return record, c.call(ctx, http.MethodPost, instance.PathCheckTicket, data, &record)
}

// Show returns the record of an accepted ticket.
func (c *Client) Show(ctx context.Context, number uint64) (record ticket.Record, err error) {
	return record, c.call(ctx, http.MethodGet, instance.PathTickets+"/"+strconv.FormatUint(number, 10), nil, &record)
}

// State returns a dump of the instance's state.
func (c *Client) State(ctx context.Context) (s instance.State, err error) {
	return s, c.call(ctx, http.MethodGet, instance.PathState, nil, &s)
}

// Backends returns the backend servers of a service, or those of all services if service is empty.
func (c *Client) Backends(ctx context.Context, service string) (rows []instance.BackendRow, err error) {
	q := url.Values{"service": {service}}
	return rows, c.call(ctx, http.MethodGet, instance.PathBackends+"?"+q.Encode(), nil, &rows)
}

// Accounts returns the client accounts whose names start with prefix.
func (c *Client) Accounts(ctx context.Context, prefix string) (rows []instance.AccountRow, err error) {
	q := url.Values{"prefix": {prefix}}
	return rows, c.call(ctx, http.MethodGet, instance.PathAccounts+"?"+q.Encode(), nil, &rows)
}

// call makes one call. LinkUnreachable means that nothing was sent, LinkBroken that no complete answer arrived.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.OperatorUsage, err, "%q is not an address", c.Address)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http().Do(req)
	if err != nil && !sent {
		return result.Wrap(result.LinkUnreachable, err, "can't connect to %s: %v", c.Address, err)
	}
	if err != nil {
		return result.Wrap(result.LinkBroken, err, "no answer from %s: %v", c.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return result.Wrap(result.LinkBroken, err, "the answer of %s is incomplete", c.Address)
	}
	return decode(resp.StatusCode, data, out)
}

func decode(status int, data []byte, out any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return result.Wrap(result.LinkBroken, err, "the answer can't be decoded")
		}
		return nil
	}
	var refusal link.ErrorBody
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Code == result.OK {
		return result.New(result.LinkBroken, "status %d without a result code", status)
	}
	return result.New(refusal.Code, "%s", refusal.Message)
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Transport: httpclient.Checked(&http.Transport{
		DialContext:       httpclient.Dial((&net.Dialer{}).DialContext),
		DisableKeepAlives: true,
	})}
}
