// Package rawserver provides servers for tests that answer with given bytes, which need not be HTTP, before they have read the body
// of a request.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Start starts a server that answers the first request on each connection after its head, and then calls end. Connections that
// end leaves open are closed at the end of the test.
func Start(t testing.TB, response string, end func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		close(done)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
				end(c.(*net.TCPConn))
				<-done
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Keep leaves the connection open.
func Keep(*net.TCPConn) {}

// CloseWrite ends what the server sends, and leaves the rest of the request unread.
func CloseWrite(c *net.TCPConn) { _ = c.CloseWrite() }

// Reset resets the connection.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// CloseAndReset ends what the server sends before it resets the connection.
func CloseAndReset(c *net.TCPConn) {
	CloseWrite(c)
	Reset(c)
}
