package link

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"amaranthstile/result"
)

const (
	// dialTimeout is several round trips between regions (70 ms); a request whose connection takes longer goes elsewhere
	// while there is time.
	dialTimeout     = 250 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// ServerIdleTimeout is how long the exit side keeps an idle connection: longer than the entry side, so that
	// the exit side does not close a connection just as a request is sent on it.
	ServerIdleTimeout = 4 * idleConnTimeout
	// BackendIdleTimeout is how long an idle connection to a backend server is kept. Backend servers keep theirs
	// for longer, so that none closes a connection just as a request is sent on it.
	BackendIdleTimeout = 3 * time.Second
	maxIdlePerTo       = 64
	maxAnswerHeader    = 64 << 10 // bytes
	// writeBuffer holds most requests whole, so that each is one write.
	writeBuffer = 32 << 10 // bytes
)

// Forwarder sends requests to other instances.
type Forwarder struct {
	transport *http.Transport
	scheme    string
	paths     paths
}

// NewForwarder returns a forwarder over network; with a nil config the links are plain TCP.
func NewForwarder(network Network, config *tls.Config) *Forwarder {
	f := &Forwarder{scheme: "http", transport: NewTransport(maxIdlePerTo, idleConnTimeout), paths: paths{answered: make(map[string]time.Time)}}
	f.transport.DialContext = dialTracked(network)
	if config != nil {
		f.scheme = "https"
		f.transport.TLSClientConfig = config
	}
	return f
}

// NewTransport returns an HTTP/1.1 transport that adds nothing to requests and changes nothing in answers.
func NewTransport(idlePerHost int, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dialTracked(SystemNetwork{}),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        writeBuffer,
		TLSHandshakeTimeout:    dialTimeout,
		ExpectContinueTimeout:  time.Hour, // a body waits until the other side asks for it
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// Send forwards one request to addr. The request is sent once and never again by the transport. An error
// carries LinkUnreachable and NotRun while no byte was sent, and otherwise LinkBroken and MayHaveRun.
func (f *Forwarder) Send(ctx context.Context, addr string, req *http.Request) (*Exchange, error) {
	if ctx.Value(pathChecked{}) != nil {
		if err := f.checkPath(ctx, addr); err != nil {
			return nil, err
		}
	}
	req.URL.Scheme = f.scheme
	req.URL.Host = addr
	e, wrote, err := SendOnce(ctx, f.transport, req)
	if err == nil {
		f.paths.note(addr, time.Now())
		return e, nil
	}
	if !wrote {
		return nil, result.WithRun(result.Wrap(result.LinkUnreachable, err, "the other instance takes no connection"), result.NotRun)
	}
	return nil, result.WithRun(result.Wrap(result.LinkBroken, err, "the link broke"), result.MayHaveRun)
}

// Close closes the connections that are not in use.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }
