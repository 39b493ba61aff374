package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"amaranthstile/event"
	"amaranthstile/internal/contain"
	"amaranthstile/result"
)

// ControlServer handles calls of other instances.
type ControlServer struct {
	// Traffic counts the messages and bytes sent. It must be set before Serve.
	Traffic *Traffic

	handlers map[Method]HandlerFunc
	logger   *event.Logger

	mu     sync.Mutex
	conns  map[net.Conn]*jsonrpc2.Conn // the value is nil until the TLS handshake is complete
	closed bool
	stats  ControlStats
}

// ControlStats counts the connections and calls of a ControlServer.
type ControlStats struct {
	Connections int    `json:"connections"`
	Calls       uint64 `json:"calls"`
	// Refused counts connections whose TLS handshake failed, for example without a valid certificate, and
	// connections beyond maxConnections. Busy counts calls that were rejected beyond maxInFlight.
	Refused uint64 `json:"refused"`
	Busy    uint64 `json:"busy"`
	// Panics counts calls whose handler panicked.
	Panics uint64 `json:"panics"`
}

// NewControlServer returns a server that handles only the hello and ping methods.
func NewControlServer() *ControlServer {
	s := &ControlServer{
		Traffic:  &Traffic{},
		handlers: make(map[Method]HandlerFunc),
		conns:    make(map[net.Conn]*jsonrpc2.Conn),
		logger:   event.Discard(),
	}
	Register(s, methodHello, func(_ context.Context, h hello) (any, error) {
		return hello{Oldest: ProtocolOldest, Newest: ProtocolNewest}, h.checkCommonVersion()
	})
	s.Handle(methodPing, func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	return s
}

// SetLogger sets the logger for rejected connections. It must be called before Serve.
func (s *ControlServer) SetLogger(e *event.Logger) { s.logger = e }

// Handle registers the handler of a method. It must be called before Serve.
func (s *ControlServer) Handle(m Method, h HandlerFunc) { s.handlers[m] = h }

// Register registers a handler with typed parameters.
func Register[P any](s *ControlServer, m Method, h func(ctx context.Context, p P) (any, error)) {
	s.Handle(m, func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, result.Wrap(result.RequestInvalid, err, "invalid parameters of %s", m)
		}
		return h(ctx, p)
	})
}

// Stats returns a snapshot of the counters.
func (s *ControlServer) Stats() ControlStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Connections = len(s.conns)
	return out
}

// acceptRetryDelay is the time until the next attempt to accept a connection after one failed, for example because no
// descriptor was free. Giving up would cut the instance off from the others.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts and serves the connections of l until l is closed.
func (s *ControlServer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(c) {
			_ = c.Close()
			continue
		}
		go s.serve(c)
	}
}

// admit registers a connection and reports whether the server accepts it. A closed server and one that has
// maxConnections connections accept none.
func (s *ControlServer) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		s.stats.Refused++
		return false
	}
	s.conns[c] = nil
	return true
}

func (s *ControlServer) serve(c net.Conn) {
	defer s.forget(c)
	if err := handshake(c); err != nil {
		s.reject(c, err)
		return
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(c, s.Traffic, 2*pingInterval),
		s.newHandler(), jsonrpc2.SetLogger(discardLogger{}))
	s.mu.Lock()
	s.conns[c] = conn
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = conn.Close()
	}
	<-conn.DisconnectNotify()
}

// handshake completes the TLS handshake of c, if c uses TLS, within dialTimeout.
func handshake(c net.Conn) error {
	tlsConn, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return tlsConn.HandshakeContext(ctx)
}

func (s *ControlServer) reject(c net.Conn, err error) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	s.logger.Log(event.LinkRefused, event.F("from", c.RemoteAddr().String()), event.F("error", err.Error()))
	linger(c)
}

// lingerTime is how long a rejected connection stays open so that the peer can read the reason.
const lingerTime = 200 * time.Millisecond

// linger closes the sending direction and discards what still arrives. Closing the connection at once could discard
// the reason before the peer has read it.
func linger(c net.Conn) {
	tlsConn, ok := c.(*tls.Conn)
	if !ok {
		return
	}
	half, ok := tlsConn.NetConn().(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(tlsConn.NetConn(), MaxControlBytes))
}

func (s *ControlServer) forget(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// newHandler returns the handler of one connection. After the hello, it runs up to maxInFlight calls concurrently.
func (s *ControlServer) newHandler() jsonrpc2.Handler {
	h := &connHandler{server: s, inFlight: make(chan struct{}, maxInFlight)}
	h.run = jsonrpc2.HandlerWithError(h.dispatch).SuppressErrClosed()
	return h
}

// connHandler handles the calls of one connection.
type connHandler struct {
	server        *ControlServer
	run           jsonrpc2.Handler
	inFlight      chan struct{}
	helloReceived bool // accessed only by the goroutine that reads the connection
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !h.helloReceived && Method(req.Method) != methodHello {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(result.New(result.LinkVersion, "the first call must be %s", methodHello)))
		_ = conn.Close()
		return
	}
	h.helloReceived = true
	select {
	case h.inFlight <- struct{}{}:
	default:
		h.server.countCall(true)
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(result.New(result.LinkBusy, "%d calls are in flight on this connection", maxInFlight)))
		return
	}
	h.server.countCall(false)
	go func() {
		defer func() { <-h.inFlight }()
		h.run.Handle(ctx, conn, req)
	}()
}

func (s *ControlServer) countCall(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	if busy {
		s.stats.Busy++
	}
}

// dispatch runs the registered handler of a call.
func (h *connHandler) dispatch(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	handler, ok := h.server.handlers[Method(req.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	out, err := h.server.callHandler(ctx, handler, Method(req.Method), params)
	if err != nil {
		return nil, rpcError(err)
	}
	data, err := json.Marshal(out)
	if err == nil && len(data) > maxResultBytes {
		err = result.New(result.LinkTooLarge, "a result of %d bytes for %s is too large", len(data), req.Method)
	}
	if err != nil {
		return nil, rpcError(err)
	}
	return json.RawMessage(data), nil
}

// callHandler runs a handler. If it panics, the call fails with the code Internal.
func (s *ControlServer) callHandler(
	ctx context.Context, handler HandlerFunc, m Method, params json.RawMessage,
) (out any, err error) {
	contain.Run(func() { out, err = handler(ctx, params) }, func(reason any, stack []byte) {
		s.mu.Lock()
		s.stats.Panics++
		s.mu.Unlock()
		s.logger.Log(event.PanicContained, append(event.PanicFields(reason, stack), event.F("method", string(m)))...)
		out, err = nil, result.New(result.Internal, "the handler of %s panicked", m)
	})
	return out, err
}

// maxResultBytes leaves room for the JSON-RPC envelope of a result.
const maxResultBytes = MaxControlBytes - 1<<10

func rpcError(err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: int64(result.CodeOf(err)), Message: err.Error()}
}

// Close closes all connections and makes the server reject new ones.
func (s *ControlServer) Close() {
	s.mu.Lock()
	s.closed = true
	for c, conn := range s.conns {
		if conn == nil {
			_ = c.Close()
			continue
		}
		go func() { _ = conn.Close() }()
	}
	s.mu.Unlock()
}
