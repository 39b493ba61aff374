package httpclient

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testStall = 300 * time.Millisecond

// get reads a response whose parts arrive with pauses before them; a negative pause lasts until the client gives up.
func get(t *testing.T, pauses ...time.Duration) ([]byte, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, p := range pauses {
			if p < 0 {
				<-r.Context().Done()
				return
			}
			time.Sleep(p)
			_, _ = w.Write([]byte("part"))
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	client := &http.Client{Transport: StallTimeout(&http.Transport{DisableKeepAlives: true}, testStall)}
	resp, err := client.Get(server.URL)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// TestLongResponseThatKeepsArrivingIsRead guards against giving up a transfer that only takes long.
func TestLongResponseThatKeepsArrivingIsRead(t *testing.T) {
	is := is.New(t)
	const pause = testStall / 3
	data, err := get(t, pause, pause, pause, pause, pause, pause)
	is.NoErr(err)
	is.Equal(len(data), 6*len("part"))
}

// TestStalledResponseIsGivenUp stalls responses before their head and within their body.
func TestStalledResponseIsGivenUp(t *testing.T) {
	for _, pauses := range [][]time.Duration{{-1}, {0, -1}, {0, testStall / 3, -1}} {
		is := is.New(t)
		began := time.Now()
		_, err := get(t, pauses...)
		is.True(errors.Is(err, errStalled))
		is.True(time.Since(began) < 5*testStall)
	}
}
