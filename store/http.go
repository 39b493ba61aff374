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

	"amaranthstile/internal/httpclient"
	"amaranthstile/result"
)

// The platform's HTTP protocol; docs/STORE.md describes it.
const (
	// ObjectPath is the URL path prefix of an object; the object's name follows it.
	ObjectPath = "/v1/objects/"
	// ListPath is the URL path of a listing; the query parameter "prefix" selects the objects.
	ListPath = "/v1/list"
	// HeaderVersion carries the object's version in a response.
	HeaderVersion = "Object-Version"
	// HeaderNotApplied marks an error response to a write that certainly had no effect.
	HeaderNotApplied = "Object-Not-Applied"
	// QueryAfter is the query parameter of a watch that holds the version that the client already has.
	QueryAfter = "after"
	// QueryWait is the query parameter of a watch that holds how long it may wait, in milliseconds.
	QueryWait = "wait"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchWait   = 4 * time.Second
	maxListBytes       = 16 << 20
	maxErrorBodyBytes  = 4 << 10
	maxHeaderBytes     = 64 << 10
	maxIdleConns       = 8
	idleTimeout        = 90 * time.Second
	keepAliveInterval  = 15 * time.Second
)

// HTTPOptions are the options of an HTTP client.
type HTTPOptions struct {
	// Base is the platform's URL, for example "http://127.0.0.1:7900".
	Base string
	// CallTimeout bounds each call except a watch; default 2 s.
	CallTimeout time.Duration
	// WatchWait is how long one watch may wait; default 4 s. Longer waits cost fewer calls. A connection that stopped
	// responding without an error is noticed after WatchWait and CallTimeout, which must leave time to put a change in
	// force within 9 s.
	WatchWait time.Duration
	// Transport sends the calls. The default is NewTransport with half the CallTimeout, so that a connection that can't
	// be opened is distinguished from a call without a response.
	Transport http.RoundTripper
}

// NewTransport returns a transport for the platform. It uses no proxy, bounds the response headers, and takes at most
// dialTimeout to open a connection. It does not reuse a connection that ended with an error.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            httpclient.Dial((&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}).DialContext),
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
}

// HTTP is a Client over HTTP.
type HTTP struct {
	options HTTPOptions
	client  *http.Client
}

// NewHTTP returns a client. It makes no call to the platform.
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
	return &HTTP{options: o, client: &http.Client{Transport: httpclient.Checked(o.Transport), CheckRedirect: noRedirect}}
}

// noRedirect disables redirects, so that a write is never sent to another URL.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, name string) (Object, error) {
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	resp, err := h.call(ctx, http.MethodGet, h.objectURL(name, nil), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return resp.object(name)
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := CheckPrefix(prefix); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	u := h.options.Base + ListPath + "?" + url.Values{"prefix": {prefix}}.Encode()
	resp, err := h.call(ctx, http.MethodGet, u, nil, nil)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, resp.statusError()
	}
	var entries []ListEntry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, result.Wrap(result.PlatformProtocol, err, "parsing the listing of prefix %s", prefix)
	}
	out := make([]Object, 0, len(entries))
	for _, r := range entries {
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
func (h *HTTP) Put(ctx context.Context, name string, expected Version, value []byte) (Version, error) {
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, result.New(result.PlatformTooLarge,
			"value of object %s has %d bytes, more than the maximum", name, len(value))
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	resp, err := h.call(ctx, http.MethodPut, h.objectURL(name, nil), precondition(expected), value)
	if err != nil {
		return 0, writeError(err, name)
	}
	if resp.status != http.StatusOK && resp.status != http.StatusCreated {
		return 0, resp.putStatusError()
	}
	v, err := resp.version()
	return v, writeError(err, name)
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, name string, expected Version) error {
	if err := CheckName(name); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	resp, err := h.call(ctx, http.MethodDelete, h.objectURL(name, nil), precondition(expected), nil)
	if err != nil {
		return writeError(err, name)
	}
	if resp.status != http.StatusNoContent {
		return resp.writeStatusError()
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
	resp, err := h.call(ctx, http.MethodGet, h.objectURL(name, query), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return resp.object(name)
}

func (h *HTTP) objectURL(name string, query url.Values) string {
	u := h.options.Base + ObjectPath + name
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

// precondition returns the headers that make a write conditional on the version that it replaces.
func precondition(expected Version) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(expected), 10))}}
}

func (h *HTTP) call(ctx context.Context, method, u string, header http.Header, value []byte) (response, error) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, u, bytes.NewReader(value))
	if err != nil {
		return response{}, result.Wrap(result.PlatformUnavailable, err, "building a request to the platform")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	// The transport repeats a write only if the connection closed before any byte of the write was sent.
	resp, err := h.client.Do(req)
	if err != nil {
		h.client.CloseIdleConnections() // what made this connection stop responding may have affected them too
		return response{}, newTransportError(sent.Load(), err, "platform does not respond")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(resp)
	if err != nil {
		h.client.CloseIdleConnections()
		return response{}, newTransportError(true, err, "response of the platform is incomplete")
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// readBody reads a complete response body. It returns an error if the body is too large, or if its end can't be
// distinguished from a broken connection.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, result.New(result.PlatformProtocol, "response without a length")
	}
	limit := maxListBytes
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit && resp.StatusCode == http.StatusOK {
		err = result.New(result.PlatformProtocol, "response has more than %d bytes", limit)
	}
	return body, err
}

// transportError is the error of a call without a complete response.
type transportError struct {
	error
	sent bool // whether a part of the request may have been sent
}

// Unwrap returns the coded error.
func (e *transportError) Unwrap() error { return e.error }

func newTransportError(sent bool, err error, text string) error {
	code := result.PlatformUnavailable
	if result.Is(err, result.PlatformProtocol) || result.Is(err, result.AnswerProtocol) {
		code = result.PlatformProtocol
	}
	return &transportError{error: result.Wrap(code, err, "%s", text), sent: sent}
}

// writeError returns the error of a failed write. It carries PlatformOutcomeUnknown unless the write was certainly not
// sent. Without a failure it returns nil.
func writeError(err error, name string) error {
	var transport *transportError
	if err == nil || (errors.As(err, &transport) && !transport.sent) {
		return err
	}
	return result.Wrap(result.PlatformOutcomeUnknown, err, "the outcome of the write to object %s is unknown", name)
}
