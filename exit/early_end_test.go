package exit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/result"
)

// startCutServer starts a backend server that writes the first bytes of a response, as many as the path says, and closes.
func startCutServer(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, err := strconv.Atoi(r.URL.Path[1:])
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, response[:n])
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestResponseThatEndsInItsHeadIsNoSuccess lets a backend server close after each number of bytes of a response. The
// client must not get a complete response, of whatever length.
func TestResponseThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	for name, response := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 15\r\n\r\nfifteen letters",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"ends with close":  "HTTP/1.1 200 OK\r\nServer: x\r\nConnection: close\r\n\r\n",
		"other line feeds": "HTTP/1.1 200 OK\nServer: x\nContent-Length: 15\n\nfifteen letters",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startExit(t, startCutServer(t, response))
			for n := range len(response) {
				resp, err := sendOverLink(t, address, "/"+strconv.Itoa(n))
				if err != nil {
					continue // the connection broke
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && resp.StatusCode < http.StatusMultipleChoices {
					t.Errorf("cut after %d bytes: status %d, body %q", n, resp.StatusCode, body)
				}
				is.True(resp.Header.Get("Amaranth-Run") != string(result.NotRun))
			}
		})
	}
}
