package httpclient_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/internal/httpclient"
	"amaranthstile/result"
)

// scriptedTransport returns one response, and records whether its body was closed.
type scriptedTransport struct {
	response *http.Response
	closed   bool
}

// RoundTrip implements http.RoundTripper.
func (t *scriptedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	t.response.Body = t
	return t.response, nil
}

// Read implements io.Reader.
func (*scriptedTransport) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (t *scriptedTransport) Close() error {
	t.closed = true
	return nil
}

// TestParsedHeadIsChecked covers what arrives over connections whose bytes are not checked, as under TLS.
func TestParsedHeadIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		field  string
		sound  bool
	}{
		"sound":                {200, "X-A", true},
		"highest status":       {599, "X-A", true},
		"switch of protocols":  {101, "X-A", true},
		"lowest byte":          {200, "!", true},
		"status 000":           {0, "X-A", false},
		"informational status": {199, "X-A", false},
		"status 600":           {600, "X-A", false},
		"blank in a name":      {200, "X A", false},
		"blank behind a name":  {200, "Content-Length ", false},
		"empty name":           {200, "", false},
		"control byte":         {200, "X\x01A", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner := &scriptedTransport{response: &http.Response{StatusCode: c.status, Header: http.Header{c.field: {"b"}}}}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/", strings.NewReader(""))
			is.NoErr(err)
			resp, err := httpclient.Checked(inner).RoundTrip(r)
			is.Equal(inner.closed, !c.sound)
			if c.sound {
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				return
			}
			is.Equal(result.CodeOf(err), result.AnswerProtocol)
			is.Equal(result.RunOf(err), result.MayHaveRun)
		})
	}
}
