package exit_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/exit"
	"amaranthstile/internal/resetconn"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// resetNetwork opens connections on which a write learns of a reset before a read.
type resetNetwork struct{ link.SystemNetwork }

// DialContext implements link.Network.
func (n resetNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return resetconn.Dial(n.SystemNetwork.DialContext)(ctx, network, address)
}

// startEarlyServer starts a backend server that answers the first request after its head, and resets the connection.
// With closeFirst, it ends what it sends before.
func startEarlyServer(t *testing.T, response string, closeFirst bool) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		if closeFirst {
			_ = c.(*net.TCPConn).CloseWrite()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestResponseThatIsResetDuringAnUploadIsNotWhole lets a backend server answer a long upload at once and reset the connection,
// and the write of the upload learn of the reset first.
func TestResponseThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	long := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		response   string
		closeFirst bool
		body       string // "" if the response is broken
		outcome    backend.Outcome
	}{
		"part":                 {head + "part", false, "", backend.OutcomeTruncated},
		"long part":            {head + long, false, "", backend.OutcomeTruncated},
		"head":                 {head, false, "", backend.OutcomeTruncated},
		"part of chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false, "", backend.OutcomeTruncated},
		"whole with a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false, "hello", backend.OutcomeAnswered},
		"whole in chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false, "hello", backend.OutcomeAnswered},
		"whole before a reset": {head + "hello", true, "hello", backend.OutcomeAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := backend.Announcement{ID: "b", Service: "s", Address: startEarlyServer(t, c.response, c.closeFirst), Slots: 3, State: membership.Active}
			set := backend.UpstreamSet{}.WithServers([]backend.Server{{Announcement: a}}, func() *http.Transport {
				return link.NewTransportWithNetwork(resetNetwork{}, 1, time.Minute)
			})
			seen := &exchangeRecorder{ended: make(chan struct{})}
			s := httptest.NewServer(exit.New(exit.Options{
				Backends: func() backend.UpstreamSet { return set }, Dialect: closeDelimited{}, Observer: seen,
			}))
			defer s.Close()
			upload, uploading := io.Pipe()
			go func() { // until the exit side reads no more of it
				block := make([]byte, 64<<10)
				for err := error(nil); err == nil; {
					_, err = uploading.Write(block)
				}
			}()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, upload)
			is.NoErr(err)
			r.Header.Set(link.HeaderBackend, "b")
			r.Header.Set(link.HeaderExchange, "e")
			r.Header.Set(link.HeaderTimeout, strconv.Itoa(20_000))
			resp, err := http.DefaultTransport.RoundTrip(r)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			_ = upload.Close()
			<-seen.ended
			is.Equal(seen.outcome, c.outcome)
			if c.body != "" {
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(string(body) == c.body)
				return
			}
			if err == nil { // not broken off midway
				refusal := link.ReadError(resp.Header)
				is.Equal(result.CodeOf(refusal), result.AnswerTruncated)
				is.Equal(result.RunOf(refusal), result.Ran)
			}
		})
	}
}
