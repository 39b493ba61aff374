package httpclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/internal/httpclient"
	"amaranthstile/internal/rawserver"
	"amaranthstile/internal/resetconn"
)

// endlessUpload is a request body without an end.
type endlessUpload struct{}

// Read implements io.Reader.
func (endlessUpload) Read(p []byte) (int, error) { return len(p), nil }

// get sends a request with an upload that never ends, and returns the body of the response.
func get(ctx context.Context, dial httpclient.DialFunc, address string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, endlessUpload{})
	if err != nil {
		return "", err
	}
	resp, err := (&http.Transport{DialContext: dial}).RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestResetIsNotTheEndOfAResponse lets a server answer an upload before its end. A response that ends with its connection is
// whole only if the server closed its direction, even if it resets the connection afterwards.
func TestResetIsNotTheEndOfAResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	system := (&net.Dialer{}).DialContext
	resetFirst := resetconn.Dial(system)
	for name, c := range map[string]struct {
		dial     httpclient.DialFunc
		response string
		end      func(*net.TCPConn)
		body     string // "" if the response is broken
	}{
		"reset":                        {resetFirst, head + "part", rawserver.Reset, ""},
		"reset behind the head":        {resetFirst, head, rawserver.Reset, ""},
		"reset in trailers":            {resetFirst, chunked, rawserver.Reset, ""},
		"reset behind a length":        {resetFirst, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", rawserver.Reset, "whole"},
		"reset behind the last chunk":  {resetFirst, chunked + "\r\n", rawserver.Reset, "whole"},
		"reset behind the end":         {resetFirst, head + "whole", rawserver.CloseAndReset, "whole"},
		"end, and the upload is stuck": {system, head + "whole", rawserver.CloseWrite, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			body, err := get(ctx, httpclient.Dial(c.dial), rawserver.Start(t, c.response, c.end).String())
			is.NoErr(ctx.Err())
			is.Equal(err != nil, c.body == "")
			if err == nil {
				is.Equal(body, c.body)
			}
		})
	}
}

// scriptedConn is a connection whose reads and writes return given results.
type scriptedConn struct {
	net.Conn
	writes []error
	reads  []error
	closed bool
}

func (c *scriptedConn) Write([]byte) (int, error) {
	err := c.writes[0]
	c.writes = c.writes[1:]
	return 0, err
}

func (c *scriptedConn) Read([]byte) (int, error) {
	err := c.reads[0]
	c.reads = c.reads[1:]
	return 0, err
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

var (
	brokenPipe       = &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}
	deadlineExceeded = &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
)

// TestReadReturnsTheFailureThatAWriteWasTold guards against an end that is returned as an error, or the reverse, for each
// error that a write may have had before.
func TestReadReturnsTheFailureThatAWriteWasTold(t *testing.T) {
	reset := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	for name, c := range map[string]struct {
		writes []error
		closed bool
		read   error
	}{
		"no write":                   {nil, false, io.EOF},
		"sound write":                {[]error{nil}, false, io.EOF},
		"reset":                      {[]error{nil, reset}, false, reset},
		"reset, then broken pipe":    {[]error{reset, brokenPipe}, false, reset},
		"broken pipe":                {[]error{brokenPipe}, false, io.EOF},
		"deadline":                   {[]error{deadlineExceeded}, false, io.EOF},
		"closed by this side":        {[]error{net.ErrClosed}, true, io.EOF},
		"reset, then closed by us":   {[]error{reset, net.ErrClosed}, true, reset},
		"deadline, and then a reset": {[]error{deadlineExceeded, reset}, false, reset},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner := &scriptedConn{writes: c.writes, reads: []error{io.EOF}, closed: c.closed}
			conn := httpclient.NewConn(inner)
			for range c.writes {
				_, _ = conn.Write([]byte("x"))
			}
			_, err := conn.Read(make([]byte, 1))
			is.Equal(err, c.read)
		})
	}
}
