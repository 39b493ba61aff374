package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthstile/result"
)

// The platform's HTTP protocol; docs/STORE.md describes it.
const (
	// ObjectPath precedes an object's name in the URL.
	ObjectPath = "/v1/objects/"
	// ListPath is the URL's path of a listing; the query "prefix" selects.
	ListPath = "/v1/list"
	// HeaderVersion carries the object's version in an answer.
	HeaderVersion = "Object-Version"
	// HeaderNotApplied marks an error answer to a write that certainly had no effect.
	HeaderNotApplied = "Object-Not-Applied"
	// QueryAfter is the query of a watch: the version that the caller has.
	QueryAfter = "after"
	// QueryWait is the query of a watch: how long it may wait, in milliseconds.
	QueryWait = "wait"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchWait   = 20 * time.Second
	maxListBytes       = 16 << 20
	maxErrorBytes      = 4 << 10
	maxHeaderBytes     = 64 << 10
	idleConnections    = 8
	idleTimeout        = 90 * time.Second
	keepAlive          = 15 * time.Second
)

// HTTPOptions are the options of an HTTP client.
type HTTPOptions struct {
	// Base is the platform's URL, for example "http://127.0.0.1:7900".
	Base string
	// CallTimeout bounds each call except a watch; default 2 s.
	CallTimeout time.Duration
	// WatchWait is how long one watch may wait; default 20 s. Longer waits cost fewer calls.
	WatchWait time.Duration
	// Transport sends the calls; default NewTransport of half the CallTimeout, so that a connection that
	// can't be opened is told from a call without an answer.
	Transport http.RoundTripper
}

// NewTransport returns a transport for the platform: no proxy, bounded headers, and at most dial to open a
// connection. A connection that ended oddly is not used again.
func NewTransport(dial time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dial, KeepAlive: keepAlive}).DialContext,
		TLSHandshakeTimeout:    dial,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
}

// HTTP is a Client over HTTP.
type HTTP struct {
	options HTTPOptions
	client  *http.Client
}

// NewHTTP returns a client; no call is made.
func NewHTTP(o HTTPOptions) *HTTP {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = defaultWatchWait
	}
	if o.Transport == nil {
		o.Transport = NewTransport(o.CallTimeout / 2)
	}
	return &HTTP{options: o, client: &http.Client{Transport: o.Transport, CheckRedirect: noRedirect}}
}

// noRedirect keeps a write from being sent on to another place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, name string) (Object, error) {
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	a, err := h.call(ctx, http.MethodGet, h.objectURL(name, nil), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return a.object(name)
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := CheckPrefix(prefix); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	u := h.options.Base + ListPath + "?" + url.Values{"prefix": {prefix}}.Encode()
	a, err := h.call(ctx, http.MethodGet, u, nil, nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.failure()
	}
	var rows []ListEntry
	if err := json.Unmarshal(a.body, &rows); err != nil {
		return nil, result.Wrap(result.PlatformProtocol, err, "listing of %s", prefix)
	}
	out := make([]Object, 0, len(rows))
	for _, r := range rows {
		out = append(out, Object{Name: r.Name, Version: r.Version})
	}
	return out, nil
}

// ListEntry is one row of a listing.
type ListEntry struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
}

// Put implements Client.
func (h *HTTP) Put(ctx context.Context, name string, before Version, value []byte) (Version, error) {
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, result.New(result.PlatformTooLarge, "value of %s has %d bytes", name, len(value))
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	a, err := h.call(ctx, http.MethodPut, h.objectURL(name, nil), condition(before), value)
	if err != nil {
		return 0, unknownWrite(err, name)
	}
	if a.status != http.StatusOK && a.status != http.StatusCreated {
		return 0, a.putFailure()
	}
	v, err := a.version()
	return v, unknownWrite(err, name)
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, name string, before Version) error {
	if err := CheckName(name); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	a, err := h.call(ctx, http.MethodDelete, h.objectURL(name, nil), condition(before), nil)
	if err != nil {
		return unknownWrite(err, name)
	}
	if a.status != http.StatusNoContent {
		return a.writeFailure()
	}
	return nil
}

// Watch implements Client.
func (h *HTTP) Watch(ctx context.Context, name string, after Version) (Object, error) {
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.WatchWait+h.options.CallTimeout)
	defer cancel()
	query := url.Values{
		QueryAfter: {strconv.FormatUint(uint64(after), 10)},
		QueryWait:  {strconv.FormatInt(h.options.WatchWait.Milliseconds(), 10)},
	}
	a, err := h.call(ctx, http.MethodGet, h.objectURL(name, query), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return a.object(name)
}

func (h *HTTP) objectURL(name string, query url.Values) string {
	u := h.options.Base + ObjectPath + name
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

// condition makes a write conditional on the version that it replaces.
func condition(before Version) http.Header {
	if before == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(before), 10))}}
}

func (h *HTTP) call(ctx context.Context, method, u string, header http.Header, value []byte) (answer, error) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, u, bytes.NewReader(value))
	if err != nil {
		return answer{}, result.Wrap(result.PlatformUnavailable, err, "bad request to the platform")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	// The transport sends a write again only on a connection that closed before a byte of it was written.
	resp, err := h.client.Do(req)
	if err != nil {
		return answer{}, noAnswer(sent.Load(), err, "platform does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(resp)
	if err != nil {
		return answer{}, noAnswer(true, err, "platform's answer is not whole")
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// readBody reads an answer whole and refuses one that is too large or whose end can't be told from a break.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, result.New(result.PlatformProtocol, "answer without a length")
	}
	limit := maxListBytes
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit && resp.StatusCode == http.StatusOK {
		err = result.New(result.PlatformProtocol, "answer has more than %d bytes", limit)
	}
	return body, err
}

// missing is a call without a whole answer.
type missing struct {
	error
	sent bool // a part of the call may have been sent
}

// Unwrap returns the coded error.
func (m *missing) Unwrap() error { return m.error }

func noAnswer(sent bool, err error, text string) error {
	code := result.PlatformUnavailable
	if result.Is(err, result.PlatformProtocol) {
		code = result.PlatformProtocol
	}
	return &missing{error: result.Wrap(code, err, "%s", text), sent: sent}
}

// unknownWrite turns a missing answer to a write that may have been sent into PlatformOutcomeUnknown.
func unknownWrite(err error, name string) error {
	var m *missing
	if err == nil || (errors.As(err, &m) && !m.sent) {
		return err
	}
	return result.Wrap(result.PlatformOutcomeUnknown, err, "write of %s", name)
}
