package sidecar

import (
	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/result"
)

// logDecision writes one line on what the entry side decided on a request: what it was, by which version of the configuration,
// and the outcome with its inputs.
func logDecision(e *event.Logger, id string, version uint64, d entry.Decision) {
	fields := make([]event.Field, 0, 12)
	fields = append(fields,
		event.F("request", id),
		event.F("route", d.Route),
		event.F("service", d.Service),
		event.F("account", d.Account),
		event.F("version", version),
		event.F("took_ms", d.Took.Milliseconds()),
		event.F("sends", d.Sends),
	)
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
