package inspect

import (
	"fmt"
	"io"
	"strings"
	"time"

	"amaranthstile/event"
)

// ContextWindow is how long before and after a request's line other lines count as its surroundings: the longest rest of a backend
// server and the report of a lost instance come within it.
const ContextWindow = 3 * time.Second

// requestContext are what a request touched: the backend servers that it and its calls were tried at, and the instances where they
// began, from Around before its first line to Around after its last one.
type requestContext struct {
	request   string
	backends  map[string]bool
	instances map[string]bool
	from, to  time.Time
}

// matches tells whether a line is of the request or of one of its calls.
func (s *requestContext) matches(l Line) bool {
	return l.Request != "" && strings.HasPrefix(l.Request, s.request)
}

// add takes in what a line of the request tells.
func (s *requestContext) add(l Line) {
	if s.from.IsZero() {
		s.from = l.Time.Add(-ContextWindow)
	}
	s.to = l.Time.Add(ContextWindow)
	s.instances[l.Instance] = true
	for _, t := range l.attempts() {
		s.backends[t.backend] = true
	}
}

// includes tells whether a line belongs to the explanation.
func (s *requestContext) includes(l Line) bool {
	if s.matches(l) {
		return true
	}
	if l.isDecision() || l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	return s.backends[l.Backend] || s.instances[l.Instance] && isInstanceEvent(l.Event)
}

// Explain writes the lines of a request, those of its calls, whose ids begin with the request's, and around them what the fleet
// noted of the backend servers that it was tried at and of the instances where it began. It reports whether the request was found.
func Explain(w io.Writer, lines []Line, request string) (found bool, err error) {
	s := &requestContext{request: request, backends: make(map[string]bool), instances: make(map[string]bool)}
	for _, l := range lines {
		if s.matches(l) {
			s.add(l)
			found = true
		}
	}
	if !found {
		return false, nil
	}
	for _, l := range lines {
		if !s.includes(l) {
			continue
		}
		if _, err := fmt.Fprintln(w, l.Text); err != nil {
			return true, err
		}
	}
	return true, nil
}

// isInstanceEvent tells whether an event is of the instance itself or of its view: starts, stops, the store, configurations, homes,
// other instances.
func isInstanceEvent(id event.ID) bool {
	return id < 4000 || id == event.HomeSilent || id >= 6000 && id < 7000
}
