package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/link"
	"amaranthstile/operator"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// answer is one scripted answer: a result code to refuse with, OK for a record, or one of the constants.
type answer result.Code

const (
	connectionLost   answer = -1
	impossibleStatus answer = -2 // and the body of a refusal, as the next two
	blankInName      answer = -3
	blankBeforeName  answer = -4
)

// rawAnswers are the bytes of answers that an HTTP server does not write.
var rawAnswers = map[answer]string{
	impossibleStatus: "HTTP/1.1 000 X\r\nConnection: close\r\n\r\n" + `{"code":2001,"message":"refused"}`,
	blankInName:      "HTTP/1.1 409 X\r\nConnection: close\r\nX A: b\r\n\r\n" + `{"code":2001,"message":"refused"}`,
	blankBeforeName:  "HTTP/1.1 409 X\r\nConnection: close\r\n X-A: b\r\n\r\n" + `{"code":2001,"message":"refused"}`,
}

// callCounter counts the calls of a scripted server. A handler that was aborted may still run when the next one begins.
type callCounter struct {
	mu sync.Mutex
	n  int
}

// next counts a call and returns how many came before it.
func (c *callCounter) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n - 1
}

// count returns the number of calls.
func (c *callCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// startScriptedServer serves the answers in order, and then repeats the last one.
func startScriptedServer(t *testing.T, answers ...answer) (address string, calls *callCounter) {
	t.Helper()
	calls = new(callCounter)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := answers[min(calls.next(), len(answers)-1)]
		switch raw := rawAnswers[a]; {
		case raw != "":
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, raw)
			_ = c.Close()
		case a == connectionLost:
			panic(http.ErrAbortHandler)
		case a == answer(result.OK):
			_ = json.NewEncoder(w).Encode(ticket.Record{Number: 5, Revision: 9})
		default:
			link.WriteClientError(w, result.New(result.Code(a), "routes.a: reason"))
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), calls
}

// run runs a command line without waiting between attempts.
func run(args ...string) (status int, out, errors string) {
	var o, e bytes.Buffer
	status = operator.Run(context.Background(), operator.Env{Out: &o, Err: &e, Sleep: func(time.Duration) {}}, args)
	return status, o.String(), e.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestSubmitStatuses(t *testing.T) {
	file := write(t, "ticket.json", `{"number":5}`)
	for name, c := range map[string]struct {
		answers []answer
		status  int
		calls   int
	}{
		"accepted":                    {[]answer{0}, operator.StatusDone, 1},
		"refused":                     {[]answer{answer(result.TicketOutdated)}, operator.StatusRefused, 1},
		"wrong key":                   {[]answer{answer(result.OperatorRejected)}, operator.StatusRefused, 1},
		"away":                        {[]answer{answer(result.PlatformUnavailable)}, operator.StatusRetryLater, 1},
		"fault":                       {[]answer{answer(result.Internal)}, operator.StatusFailed, 1},
		"unknown, then accepted":      {[]answer{answer(result.TicketOutcomeUnknown), 0}, operator.StatusDone, 2},
		"unknown, then refused":       {[]answer{answer(result.TicketOutcomeUnknown), answer(result.TicketOutdated)}, operator.StatusRefused, 2},
		"answer lost, then away":      {[]answer{connectionLost, answer(result.PlatformUnavailable), answer(result.NotReady), 0}, operator.StatusDone, 4},
		"impossible status":           {[]answer{impossibleStatus, 0}, operator.StatusDone, 2},
		"blank in a field's name":     {[]answer{blankInName, 0}, operator.StatusDone, 2},
		"blank before a field's name": {[]answer{blankBeforeName, 0}, operator.StatusDone, 2},
		"unknown to the end":          {[]answer{answer(result.TicketOutcomeUnknown)}, operator.StatusUnknown, 7},
		"lost, then away to the end":  {[]answer{connectionLost, answer(result.PlatformUnavailable)}, operator.StatusUnknown, 7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, calls := startScriptedServer(t, c.answers...)
			status, out, errors := run("-instance", address, "-patience", "8s", "ticket", "submit", file)
			is.Equal(status, c.status)
			is.Equal(calls.count(), c.calls) // waits of 0.2, 0.4, 0.8, 1.6, 2 and 2 s fit into 8 s
			is.Equal(status == operator.StatusDone, strings.Contains(out, "revision  9"))
			is.Equal(status == operator.StatusUnknown, strings.Contains(errors, "2010 ticket-outcome-unknown"))
			is.Equal(status != operator.StatusDone, strings.Contains(errors, "reason"))
		})
	}
}

func TestUsage(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		status int
		says   string
	}{
		"nothing":         {nil, operator.StatusUsage, "usage: amaranthctl"},
		"no such command": {[]string{"tickets"}, operator.StatusUsage, "ticket submit FILE"},
		"too few":         {[]string{"ticket", "show"}, operator.StatusUsage, "exit status"},
		"too many":        {[]string{"state", "x"}, operator.StatusUsage, "exit status"},
		"no number":       {[]string{"ticket", "show", "x"}, operator.StatusUsage, `7002 operator-usage: "x" is not a ticket number`},
		"no file":         {[]string{"ticket", "check", "absent"}, operator.StatusUsage, "7002"},
		"no key file":     {[]string{"-key-file", "absent", "state"}, operator.StatusUsage, "7002"},
		"no flag":         {[]string{"-x"}, operator.StatusUsage, "not defined"},
		"help":            {[]string{"help"}, operator.StatusDone, "key new"},
		"help on one":     {[]string{"help", "ticket", "submit"}, operator.StatusDone, `"number": 12`},
		"help on none":    {[]string{"help", "x"}, operator.StatusUsage, `no command "x"`},
		"no listener":     {[]string{"-instance", "127.0.0.1:1", "state"}, operator.StatusRetryLater, "6001 link-unreachable"},
		"bad address":     {[]string{"-instance", "a b", "state"}, operator.StatusUsage, "7002"},
	} {
		status, out, errors := run(c.args...)
		if status != c.status || !strings.Contains(out+errors, c.says) {
			t.Errorf("%s: %d %s%s", name, status, out, errors)
		}
	}
	is := is.New(t)
	status, out, _ := run("-json", "key", "new")
	is.Equal(status, 0)
	var pair struct {
		Key  string      `json:"key"`
		Hash ticket.Hash `json:"hash"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &pair))
	is.Equal(ticket.HashKey(pair.Key), pair.Hash)
}

// TestCommandsAtAnInstance runs every command against a live instance.
func TestCommandsAtAnInstance(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := fleet.Start(fleet.Options{Domains: []string{"norte"}, Region: "litoral", Instances: 1})
	is.NoErr(err)
	defer f.Close()
	_, err = f.AddBackend(0, backendstandin.Options{ID: "b1", Service: "roster", Slots: 3})
	is.NoErr(err)
	is.NoErr(f.WaitReady(ctx, 1))
	is.NoErr(f.WaitRevision(ctx, 1)) // the roster of the only instance
	base := []string{"-instance", f.Instances[0].Addresses().Admin.String(), "-key-file", write(t, "key", fleet.OperatorKey+"\n")}
	first := `{"number":7,"services":{"roster":{"floor":0.5}},"accounts":{"sector-norte":{"rate":20,"burst":40}}}`
	file := write(t, "7.json", first)
	twice := write(t, "twice.json", strings.Replace(first, `"burst":40`, `"burst":40,"burst":0`, 1))
	other := write(t, "other.json", strings.Replace(first, "40", "41", 1))
	large := write(t, "large.json", strings.Repeat(" ", ticket.MaxBytes)+first)
	for _, c := range []struct {
		args   string
		status int
		says   string
	}{
		{"ticket check " + file, 0, "may be accepted"},
		{"ticket submit " + file, 0, "revision  2"},
		{"ticket submit " + file, 0, "revision  2"},
		{"ticket check " + file, 0, "was accepted at revision 2"},
		{"ticket show 7", 0, "revision  2"},
		{"ticket show 8", operator.StatusRefused, "2011 ticket-not-found"},
		{"ticket submit " + other, operator.StatusRefused, "2007 ticket-number-used: number: ticket 7"},
		{"ticket submit " + twice, operator.StatusRefused, "2001 ticket-unreadable: accounts.sector-norte.burst: the key stands twice"},
		{"ticket submit " + large, operator.StatusRefused, "2009 ticket-too-large"},
		{"backends", 0, "roster   b1"},
		{"backends cuotas", 0, "SERVICE"},
		{"accounts sector", 0, "sector-norte    20    40     1       0     7"},
		{"state", 0, "litoral"},
		{"-json ticket show 7", 0, `"revision": 2`},
	} {
		status, out, errors := run(append(base, strings.Fields(c.args)...)...)
		if status != c.status || !strings.Contains(out+errors, c.says) {
			t.Errorf("%s: %d %s%s", c.args, status, out, errors)
		}
	}
	_, out, _ := run(append(base, "-json", "state")...)
	var s instance.State
	is.NoErr(json.Unmarshal([]byte(out), &s))
	is.Equal(s.Revision, uint64(2))
	status, _, errors := run(base[0], base[1], "state")
	is.Equal(status, operator.StatusRefused)
	is.True(strings.Contains(errors, "7001 operator-rejected"))
}
