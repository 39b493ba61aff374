package fleet_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/fleet"
	"amaranthstile/result"
)

// TestBrokenAnswerIsNotComplete guards against an answer that is no HTTP, but that Go's HTTP client accepts, and that counts
// as complete or by its result code.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	for name, head := range map[string]string{
		"impossible status":            "HTTP/1.1 000 X\r\n",
		"impossible status and a code": "HTTP/1.1 000 X\r\nAmaranth-Code: 4001\r\nAmaranth-Run: not-run\r\n",
		"blank in a field's name":      "HTTP/1.1 200 OK\r\nX A: b\r\n",
		"blank before a field's name":  "HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id, _ := io.ReadAll(r.Body)
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, head+"Connection: close\r\n\r\nb /open "+string(id)+"\n")
				_ = c.Close()
			}))
			defer s.Close()
			call := fleet.NewClient("c", "").Send(t.Context(), netip.MustParseAddrPort(s.Listener.Addr().String()), http.MethodGet, "/open")
			is.True(call.Err != nil)
			is.True(!call.Complete && call.Run == result.MayHaveRun && call.Code == result.OK)
		})
	}
}
