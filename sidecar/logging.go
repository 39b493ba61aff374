package sidecar

import (
	"fmt"
	"strings"

	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/result"
)

// logDecision writes one log line for a request that the entry side has decided: the request, the version of the
// configuration that applied, the outcome, and what led to it.
func logDecision(e *event.Logger, id string, d entry.Decision) {
	fields := make([]event.Field, 0, 13)
	fields = append(fields,
		event.F("request", id),
		event.F("route", d.Route),
		event.F("service", d.Service),
		event.F("account", d.Account),
		event.F("version", d.Revision),
		event.F("took_ms", d.Took.Milliseconds()),
		event.F("sends", d.Sends),
	)
	if len(d.Attempts) > 1 || d.Err != nil && len(d.Attempts) > 0 {
		fields = append(fields, event.F("tries", formatAttempts(d.Attempts)))
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

// formatAttempts lists attempts as BACKEND:OUTCOME:MILLISECONDS; an outcome is the status of the backend server's
// response or a result code.
func formatAttempts(attempts []entry.Attempt) string {
	var b strings.Builder
	for n, a := range attempts {
		if n > 0 {
			b.WriteByte(' ')
		}
		outcome := a.Status
		if a.Err != nil {
			outcome = int(result.CodeOf(a.Err))
		}
		fmt.Fprintf(&b, "%s:%d:%d", a.Backend, outcome, a.Took.Milliseconds())
	}
	return b.String()
}
