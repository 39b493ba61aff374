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
	"amaranthstile/result"
)

// ControlServer answers calls of other instances.
type ControlServer struct {
	// Traffic counts what is sent; it is set before Serve.
	Traffic *Traffic

	handlers map[Method]HandlerFunc
	event    *event.Logger

	mu     sync.Mutex
	conns  map[net.Conn]*jsonrpc2.Conn // nil until the handshake is over
	closed bool
	stats  ControlStats
}

// ControlStats counts the connections and calls of a ControlServer.
type ControlStats struct {
	Connections int    `json:"connections"`
	Calls       uint64 `json:"calls"`
	// Refused counts connections without a right certificate or beyond the bound, Busy calls beyond theirs.
	Refused uint64 `json:"refused"`
	Busy    uint64 `json:"busy"`
}

// NewControlServer returns a server without methods.
func NewControlServer() *ControlServer {
	s := &ControlServer{
		Traffic:  &Traffic{},
		handlers: make(map[Method]HandlerFunc),
		conns:    make(map[net.Conn]*jsonrpc2.Conn),
		event:    event.Discard(),
	}
	Register(s, methodHello, func(_ context.Context, h hello) (any, error) {
		return hello{Oldest: ProtocolOldest, Newest: ProtocolNewest}, h.check()
	})
	s.Handle(methodPing, func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	return s
}

// SetLogger sets where refused connections are logged; it is called before Serve.
func (s *ControlServer) SetLogger(e *event.Logger) { s.event = e }

// Handle registers a method; all are registered before Serve.
func (s *ControlServer) Handle(m Method, h HandlerFunc) { s.handlers[m] = h }

// Register registers a method with typed parameters.
func Register[P any](s *ControlServer, m Method, h func(ctx context.Context, p P) (any, error)) {
	s.Handle(m, func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, result.Wrap(result.RequestInvalid, err, "parameters of %s", m)
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

// Serve answers the connections of l until l is closed.
func (s *ControlServer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.enter(c) {
			_ = c.Close()
			continue
		}
		go s.serve(c)
	}
}

// enter counts a connection in, unless there are too many.
func (s *ControlServer) enter(c net.Conn) bool {
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
	defer s.leave(c)
	if err := handshake(c); err != nil {
		s.refuse(c, err)
		return
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(c, s.Traffic, 2*pingInterval), s.newHandler(), jsonrpc2.SetLogger(quiet{}))
	s.mu.Lock()
	s.conns[c] = conn
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = conn.Close()
	}
	<-conn.DisconnectNotify()
}

// handshake finishes that of TLS within its time.
func handshake(c net.Conn) error {
	secured, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return secured.HandshakeContext(ctx)
}

func (s *ControlServer) refuse(c net.Conn, err error) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	s.event.Log(event.LinkRefused, event.F("from", c.RemoteAddr().String()), event.F("error", err.Error()))
	linger(c)
}

// lingerTime is how long a refused connection is kept for the other side to read why.
const lingerTime = 200 * time.Millisecond

// linger ends the own direction and drops what still comes: closing at once would take the reason back.
func linger(c net.Conn) {
	secured, ok := c.(*tls.Conn)
	if !ok {
		return
	}
	half, ok := secured.NetConn().(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(secured.NetConn(), MaxControlBytes))
}

func (s *ControlServer) leave(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// newHandler returns the handler of one connection: calls run side by side up to a bound, after a hello.
func (s *ControlServer) newHandler() jsonrpc2.Handler {
	h := &connHandler{server: s, slots: make(chan struct{}, maxInFlight)}
	h.run = jsonrpc2.HandlerWithError(h.answer).SuppressErrClosed()
	return h
}

type connHandler struct {
	server *ControlServer
	run    jsonrpc2.Handler
	slots  chan struct{}
	greets bool // touched by the reader of the connection only
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !h.greets && Method(req.Method) != methodHello {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(result.New(result.LinkVersion, "the first call is %s", methodHello)))
		_ = conn.Close()
		return
	}
	h.greets = true
	select {
	case h.slots <- struct{}{}:
	default:
		h.server.countCall(true)
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(result.New(result.LinkBusy, "%d calls run on this connection", maxInFlight)))
		return
	}
	h.server.countCall(false)
	go func() {
		defer func() { <-h.slots }()
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

func (h *connHandler) answer(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	f, ok := h.server.handlers[Method(req.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	out, err := f(ctx, params)
	if err != nil {
		return nil, rpcError(err)
	}
	data, err := json.Marshal(out)
	if err == nil && len(data) > maxAnswerBytes {
		err = result.New(result.LinkTooLarge, "an answer of %d bytes to %s", len(data), req.Method)
	}
	if err != nil {
		return nil, rpcError(err)
	}
	return json.RawMessage(data), nil
}

// maxAnswerBytes leaves room for the frame of an answer.
const maxAnswerBytes = MaxControlBytes - 1<<10

func rpcError(err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: int64(result.CodeOf(err)), Message: err.Error()}
}

// Close closes every connection.
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
