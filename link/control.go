package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"amaranthstile/result"
)

// Method is the name of a call between instances.
type Method string

// HandlerFunc handles one call; params holds the parameters in JSON.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// The range of control protocol versions that this program supports. Each side sends its range in the first call;
// the connection is closed if the ranges do not overlap. From ProtocolRepeatedReports on, a coordinator of client accounts
// counts a report once however often it arrives; from ProtocolReadings on, an instance passes on readings of the store.
const (
	ProtocolNewest          = 3
	ProtocolOldest          = 1
	ProtocolRepeatedReports = 2
	ProtocolReadings        = 3
)

// methodHello is the first call on every connection.
const methodHello Method = "link.hello"

// methodPing keeps a connection alive and detects when it is half-open.
const methodPing Method = "link.ping"

// hello is the range of protocol versions that one side supports.
type hello struct {
	Oldest int `json:"oldest"`
	Newest int `json:"newest"`
}

// checkCommonVersion checks that both sides support a common version. The error carries LinkVersion.
func (h hello) checkCommonVersion() error {
	if min(h.Newest, ProtocolNewest) < max(h.Oldest, ProtocolOldest) {
		return result.New(result.LinkVersion, "this instance supports versions %d to %d, the other side %d to %d", ProtocolOldest, ProtocolNewest, h.Oldest, h.Newest)
	}
	return nil
}

const (
	// callTimeout bounds each call, at the client and at the server.
	callTimeout = 10 * time.Second
	// writeTimeout bounds each write, so that a peer that reads nothing does not block the writer.
	writeTimeout = 5 * time.Second
	// pingInterval is how often the client pings a connection. The server closes a connection on which it receives
	// nothing for twice this time.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
	// idleConnLimit is how long the client keeps a connection on which it makes no calls.
	idleConnLimit = time.Minute
	// maxInFlight bounds the calls in flight on one connection, at the client and at the server.
	maxInFlight = 64
	// maxConnections bounds the connections that a server accepts.
	maxConnections = 1024
)

// deadlineConn sets a deadline for each write and, if idle is not 0, for each read.
type deadlineConn struct {
	net.Conn
	idle time.Duration
}

// Write implements io.Writer.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c deadlineConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// newStream returns a message stream over c that counts the messages and bytes sent in t.
func newStream(c net.Conn, t *Traffic, idle time.Duration) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{countingConn{c, t}, idle}, frameCodec{})
}

// discardLogger discards the log output of the jsonrpc2 library; a failed call returns its error to the code that
// made it.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// callError converts the error of a call into an error with a result code.
func callError(ctx context.Context, err error, m Method, addr string) error {
	var remote *jsonrpc2.Error
	switch {
	case result.Is(err, result.LinkTooLarge): // the request was not sent
		return err
	case errors.As(err, &remote) && remote.Code < 0: // the codes of jsonrpc2 itself are negative
		return result.New(result.LinkVersion, "%s at %s: %s", m, addr, remote.Message)
	case errors.As(err, &remote):
		return result.New(result.Code(remote.Code), "%s", remote.Message)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(result.LinkTimeout, err, "call of %s at %s", m, addr)
	}
	return result.Wrap(result.LinkBroken, err, "call of %s at %s", m, addr)
}

// dialError converts the error of a connection attempt into an error with a result code. read is the last read
// error of the connection: it may show that the peer rejected the certificate of this instance.
func dialError(err, read error, addr string) error {
	if result.Is(err, result.LinkVersion) {
		return err
	}
	var certificate *tls.CertificateVerificationError
	var remote *net.OpError
	rejected := result.Is(err, result.LinkRefused) || errors.As(err, &certificate) ||
		(errors.As(read, &remote) && remote.Op == "remote error")
	if rejected {
		return result.Wrap(result.LinkRefused, errors.Join(err, read), "connection to %s", addr)
	}
	return result.Wrap(result.LinkUnreachable, errors.Join(err, read), "no connection to %s", addr)
}

// readErrorConn is a connection that records its last read error.
type readErrorConn struct {
	net.Conn
	lastError atomic.Pointer[error]
}

// Read implements io.Reader.
func (c *readErrorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.lastError.Store(&err)
	}
	return n, err
}

func (c *readErrorConn) readError() error {
	if err := c.lastError.Load(); err != nil {
		return *err
	}
	return nil
}
