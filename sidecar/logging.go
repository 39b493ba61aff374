package sidecar

import (
	"fmt"
	"strings"

	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/result"
)

// logDecision writes one line on what the entry side decided on a request: what it was, by which version of the configuration,
// and the outcome with its inputs.
func logDecision(e *event.Logger, id string, version uint64, d entry.Decision) {
	fields := make([]event.Field, 0, 13)
	fields = append(fields,
		event.F("request", id),
		event.F("route", d.Route),
		event.F("service", d.Service),
		event.F("account", d.Account),
		event.F("version", version),
		event.F("took_ms", d.Took.Milliseconds()),
		event.F("sends", d.Sends),
	)
	if len(d.Attempts) > 1 || d.Err != nil && len(d.Attempts) > 0 {
		fields = append(fields, event.F("tries", triesText(d.Attempts)))
	}
	if d.Err == nil {
		e.Log(event.RequestAnswered, append(fields, event.F("backend", d.Backend), event.F("status", d.Status))...)
		return
	}
	e.Log(event.RequestRefused, append(fields,
		event.F("code", int(result.CodeOf(d.Err))),
		event.F("run", string(result.RunOf(d.Err))),
		event.F("retry_after_ms", result.RetryAfterOf(d.Err).Milliseconds()),
		event.F("error", d.Err.Error()))...)
}

// triesText lists tries as BACKEND:OUTCOME:MILLISECONDS; an outcome is the status of the backend server's answer or a result code.
func triesText(tries []entry.Attempt) string {
	var b strings.Builder
	for n, x := range tries {
		if n > 0 {
			b.WriteByte(' ')
		}
		outcome := x.Status
		if x.Err != nil {
			outcome = int(result.CodeOf(x.Err))
		}
		fmt.Fprintf(&b, "%s:%d:%d", x.Backend, outcome, x.Took.Milliseconds())
	}
	return b.String()
}
