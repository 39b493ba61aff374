package entry

import (
	"net/http"
	"time"
)

// Decision is what the entry side decided on one request, for the log.
type Decision struct {
	Request *http.Request
	// Route, Service and Account are what the request was found to be for, "" where that was not known.
	Route, Service, Account string
	// Took is the time from the arrival to the decision.
	Took time.Duration
	// Sends is how often the request was sent over a link.
	Sends int
	// Backend is the backend server whose answer was passed on, Status its status.
	Backend string
	Status  int
	// Attempts are the tries that ended before the decision, in that order.
	Attempts []Attempt
	// Err is why no backend server's answer was passed on, nil where one was.
	Err error
}

// Attempt is how one sending of a request ended.
type Attempt struct {
	Backend string
	// Status is the status of the backend server's answer, 0 where there was none; Err then tells why.
	Status int
	Err    error
	Took   time.Duration
}

// note keeps how a try ended.
func (t *transfer) note(a *attempt) {
	x := Attempt{Backend: a.to.Backend, Err: a.err, Took: a.took}
	if a.err == nil {
		x.Status = a.answer.resp.StatusCode
	}
	t.ended = append(t.ended, x)
}

// decision tells how the request ended.
func (t *transfer) decision(won *attempt, err error) Decision {
	d := Decision{Request: t.request, Service: t.service, Took: time.Since(t.arrived), Sends: t.sends, Attempts: t.ended, Err: err}
	if t.route != nil {
		d.Route = t.route.Name
	}
	if t.account != nil {
		d.Account = t.account.Name
	}
	if won != nil {
		d.Backend, d.Status = won.to.Backend, won.answer.resp.StatusCode
	}
	return d
}
