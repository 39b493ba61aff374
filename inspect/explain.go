package inspect

import (
	"fmt"
	"io"
	"strings"
	"time"

	"amaranthstile/event"
)

// ContextWindow is how long before and after a request's lines other lines count as its context. It is long enough to
// cover the longest cooldown of a backend server and the report of a lost instance.
const ContextWindow = 3 * time.Second

// requestContext is what a request involved: the backend servers that it and its calls were attempted at, and the
// instances where they began, from ContextWindow before its first line to ContextWindow after its last one.
type requestContext struct {
	request   string
	backends  map[string]bool
	instances map[string]bool
	from, to  time.Time
}

// matches reports whether a line is about the request or one of its calls.
func (c *requestContext) matches(l Line) bool {
	return l.Request != "" && strings.HasPrefix(l.Request, c.request)
}

// add extends the context by a line of the request.
func (c *requestContext) add(l Line) {
	if c.from.IsZero() {
		c.from = l.Time.Add(-ContextWindow)
	}
	c.to = l.Time.Add(ContextWindow)
	c.instances[l.Instance] = true
	for _, a := range l.attempts() {
		c.backends[a.backend] = true
	}
}

// includes reports whether a line belongs to the explanation.
func (c *requestContext) includes(l Line) bool {
	if c.matches(l) {
		return true
	}
	if l.isDecision() || l.Time.Before(c.from) || l.Time.After(c.to) {
		return false
	}
	return c.backends[l.Backend] || c.instances[l.Instance] && isInstanceEvent(l.Event)
}

// Explain writes the lines of a request and of its calls, whose IDs begin with the request's ID. It also writes the
// lines around them about the backend servers that they were attempted at and the instances where they began. It
// reports whether the request was found.
func Explain(w io.Writer, lines []Line, request string) (found bool, err error) {
	c := &requestContext{request: request, backends: make(map[string]bool), instances: make(map[string]bool)}
	for _, l := range lines {
		if c.matches(l) {
			c.add(l)
			found = true
		}
	}
	if !found {
		return false, nil
	}
	for _, l := range lines {
		if !c.includes(l) {
			continue
		}
		if _, err := fmt.Fprintln(w, l.Text); err != nil {
			return true, err
		}
	}
	return true, nil
}

// isInstanceEvent reports whether an event is about the instance itself or its view of the fleet: starts and stops,
// the store, configurations, homes of Idempotency-Keys, other instances.
func isInstanceEvent(id event.ID) bool {
	return id < 4000 || id == event.HomeSilent || id >= 6000 && id < 7000
}
