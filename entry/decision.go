package entry

import (
	"net/http"
	"time"
)

// Decision describes how the entry side decided one request, for the log.
type Decision struct {
	Request *http.Request
	// Route, Service and Account are the names of what the request is for, "" if not known.
	Route, Service, Account string
	// Revision is that of the configuration by which the request was accepted or refused, 0 if there was none.
	Revision uint64
	// Took is the time from the arrival of the request to the decision.
	Took time.Duration
	// Sends is how often the request was sent over a link.
	Sends int
	// Backend is the backend server whose response was passed on, and Status is the response's HTTP status.
	Backend string
	Status  int
	// Attempts are the attempts that ended before the decision, in the order in which they ended.
	Attempts []Attempt
	// Err is the reason why no backend server's response was passed on, or nil if one was.
	Err error
}

// Attempt describes how one sending of a request ended.
type Attempt struct {
	Backend string
	// Status is the HTTP status of the backend server's response, or 0 if there was none; Err is then the reason.
	Status int
	Err    error
	Took   time.Duration
}

// recordAttempt stores how an attempt ended.
func (s *requestState) recordAttempt(a *attempt) {
	record := Attempt{Backend: a.endpoint.Backend, Err: a.err, Took: a.took}
	if a.err == nil {
		record.Status = a.response.resp.StatusCode
	}
	s.attempts = append(s.attempts, record)
}

// decision returns the Decision on the request: the response of winner was passed on, or the client got err.
func (s *requestState) decision(winner *attempt, err error) Decision {
	d := Decision{Request: s.request, Service: s.service, Took: time.Since(s.arrived), Sends: s.sequence.Sends(), Attempts: s.attempts, Err: err}
	if s.authorizedBy != nil {
		d.Revision = s.authorizedBy.Revision
	}
	if s.route != nil {
		d.Route = s.route.Name
	}
	if s.account != nil {
		d.Account = s.account.Name
	}
	if winner != nil {
		d.Backend, d.Status = winner.endpoint.Backend, winner.response.resp.StatusCode
	}
	return d
}
