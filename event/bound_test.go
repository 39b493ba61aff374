package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRequestLinesAreLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, "i", "info")
	now := time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	for range 3 * maxRequestLinesPerSecond {
		l.Log(RequestAnswered)
	}
	l.Log(BackendRests) // other lines are not limited
	is.Equal(strings.Count(out.String(), `"event":4003`), maxRequestLinesPerSecond)
	is.Equal(strings.Count(out.String(), `"event":5106`), 1)
	now = now.Add(time.Second)
	l.Log(RequestAnswered)
	is.Equal(strings.Count(out.String(), `"event":1103,"dropped":400`), 1)
}

func BenchmarkLogRequest(b *testing.B) {
	l := New(new(discard), "i", "info")
	now := time.Unix(1000, 0)
	l.now = func() time.Time { now = now.Add(time.Second); return now }
	for range b.N {
		l.Log(RequestAnswered, F("request", "94b53abbddbdb15a"), F("route", "r-vs4xq6v"), F("service", "nony32c"), F("account", "bacu751"),
			F("version", uint64(9)), F("took_ms", int64(8)), F("sends", 1), F("backend", "i-94b53abbdd"), F("status", 200))
	}
}

// discard is a writer that discards its input.
type discard struct{}

func (*discard) Write(p []byte) (int, error) { return len(p), nil }
