package exit_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/exit"
	"amaranthstile/internal/rawserver"
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

// TestResponseThatIsResetDuringAnUploadIsNotWhole lets a backend server answer a long upload at once and reset the connection,
// and the write of the upload learn of the reset first.
func TestResponseThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	long := strings.Repeat("x", 200<<10)
	const withLength = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	resetFirst, system := resetNetwork{}, link.SystemNetwork{}
	for name, c := range map[string]struct {
		network  link.Network
		response string
		end      func(*net.TCPConn)
		body     string // "" if the response is broken
		outcome  backend.Outcome
	}{
		"part":                        {resetFirst, head + "part", rawserver.Reset, "", backend.OutcomeTruncated},
		"long part":                   {resetFirst, head + long, rawserver.Reset, "", backend.OutcomeTruncated},
		"head":                        {resetFirst, head, rawserver.Reset, "", backend.OutcomeTruncated},
		"part of chunks":              {resetFirst, chunks, rawserver.Reset, "", backend.OutcomeTruncated},
		"whole with a length":         {resetFirst, withLength, rawserver.Reset, "hello", backend.OutcomeAnswered},
		"whole in chunks":             {resetFirst, chunks + "0\r\n\r\n", rawserver.Reset, "hello", backend.OutcomeAnswered},
		"whole before a reset":        {resetFirst, head + "hello", rawserver.CloseAndReset, "hello", backend.OutcomeAnswered},
		"whole, upload stuck":         {system, head + long, rawserver.CloseWrite, long, backend.OutcomeAnswered},
		"with a length, upload stuck": {system, withLength, rawserver.Keep, "hello", backend.OutcomeAnswered},
		"in chunks, upload stuck":     {system, chunks + "0\r\n\r\n", rawserver.Keep, "hello", backend.OutcomeAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := backend.Announcement{ID: "b", Service: "s", Address: rawserver.Start(t, c.response, c.end), Slots: 3, State: membership.Active}
			set := backend.UpstreamSet{}.WithServers([]backend.Server{{Announcement: a}}, func() *http.Transport {
				return link.NewTransportWithNetwork(c.network, 1, time.Minute)
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
