package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/entry"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// TestDecisionTellsTheRevisionItWasMadeBy changes the configuration while requests are processed.
func TestDecisionTellsTheRevisionItWasMadeBy(t *testing.T) {
	is := is.New(t)
	before, after := testConfig(), testConfig()
	before.Revision, after.Revision = 7, 9
	after.Accounts = quota.NewIndex(nil)
	var now atomic.Pointer[entry.Config]
	p := newPipeline(t, nil, func(http.ResponseWriter, *http.Request) { now.Store(after) })
	var decision entry.Decision
	p.options.Config = now.Load
	p.options.OnDecision = func(d entry.Decision) { decision = d }
	p.listen(t)

	now.Store(before)
	p.sendRaw("GET /open HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.NoErr(decision.Err)
	is.Equal(decision.Revision, before.Revision) // it changed afterwards

	now.Store(before)
	p.options.Admitter = admitFunc(func() { now.Store(after) })
	p.listen(t)
	p.sendRaw("GET /keyed HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + apiKey + "\r\nConnection: close\r\n\r\n")
	is.Equal(result.CodeOf(decision.Err), result.KeyRejected)
	is.Equal(decision.Revision, after.Revision) // it changed while the request waited
}
