package link

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"amaranthstile/result"
)

const (
	// dialTimeout is several round trips between regions (70 ms each). A request whose connection takes longer is
	// sent to another instance while there is time.
	dialTimeout     = 250 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// ServerIdleTimeout is how long the exit side keeps an idle connection. It is longer than the idle timeout of
	// the entry side, so that the exit side does not close a connection just as a request is sent on it.
	ServerIdleTimeout = 4 * idleConnTimeout
	// BackendIdleTimeout is how long an idle connection to a backend server is kept. Backend servers keep idle
	// connections for longer, so that none closes a connection just as a request is sent on it.
	BackendIdleTimeout     = 3 * time.Second
	maxIdlePerInstance     = 64
	maxResponseHeaderBytes = 64 << 10
	// writeBufferBytes is large enough for most complete requests, so that each is sent in one write.
	writeBufferBytes = 32 << 10
)

// Forwarder sends requests to other instances.
type Forwarder struct {
	transport *http.Transport
	scheme    string
	paths     pathTracker
}

// NewForwarder returns a forwarder that dials through network. With a nil config, connections are plain TCP.
func NewForwarder(network Network, config *tls.Config) *Forwarder {
	f := &Forwarder{
		scheme:    "http",
		transport: NewTransportWithNetwork(network, maxIdlePerInstance, idleConnTimeout),
		paths:     newPathTracker(),
	}
	if config != nil {
		f.scheme = "https"
		f.transport.TLSClientConfig = config
	}
	return f
}

// NewTransport returns an HTTP/1.1 transport that adds nothing to requests and does not change responses.
func NewTransport(idlePerHost int, idleTimeout time.Duration) *http.Transport {
	return NewTransportWithNetwork(SystemNetwork{}, idlePerHost, idleTimeout)
}

// NewTransportWithNetwork is like NewTransport, but dials through n.
func NewTransportWithNetwork(n Network, idlePerHost int, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dialTracked(n),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
		TLSHandshakeTimeout:    dialTimeout,
		ExpectContinueTimeout:  time.Hour, // the body is not sent before the peer asks for it
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// Send forwards one request to addr. The transport never resends the request. An error carries LinkUnreachable and
// NotRun if the request was certainly not sent, and otherwise LinkBroken and MayHaveRun.
func (f *Forwarder) Send(ctx context.Context, addr string, req *http.Request) (*Exchange, error) {
	if ctx.Value(pathProbeKey{}) != nil {
		if err := f.probePath(ctx, addr); err != nil {
			return nil, err
		}
	}
	req.URL.Scheme = f.scheme
	req.URL.Host = addr
	e, wrote, err := SendOnce(ctx, f.transport, req)
	if err == nil {
		f.paths.record(addr, time.Now())
		return e, nil
	}
	if !wrote {
		return nil, result.WithRun(result.Wrap(result.LinkUnreachable, err, "could not connect to the other instance"), result.NotRun)
	}
	return nil, result.WithRun(result.Wrap(result.LinkBroken, err, "the connection to the other instance broke"), result.MayHaveRun)
}

// Close closes the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }
