package backend

import "time"

// Outcome is how one exchange with a backend server ended, as observed on the exit side.
type Outcome int

// Outcomes of an exchange.
const (
	// OutcomeAnswered is a complete response with a status below 500.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeError is a complete response with a status of 500 or above, except 503.
	OutcomeError
	// OutcomeShed is a complete response with status 503: the backend server sheds load.
	OutcomeShed
	// OutcomeTruncated is a response that ended before it was complete.
	OutcomeTruncated
	// OutcomeCrossed is a response that belongs to another request.
	OutcomeCrossed
	// OutcomeUnreachable is a connection that could not be established.
	OutcomeUnreachable
	// OutcomeAborted is a connection that broke before the response began, or a response with an impossible status.
	OutcomeAborted
	// OutcomeTimeout is a request whose time limit expired at the backend server.
	OutcomeTimeout
	// OutcomeCancelled is a request that its client gave up.
	OutcomeCancelled
)

// Observer is notified of every exchange with the backend servers of an instance.
type Observer interface {
	// Begin is called when a request of a route is handed to the backend server. It returns the observed exchange.
	Begin(backend, route string, now time.Time) Exchange
}

// Exchange receives the events of one request at a backend server.
type Exchange interface {
	// Sent is called when the whole request was sent, so that time that the client takes to send is not counted.
	Sent(now time.Time)
	// Head is called when the response header arrived.
	Head(now time.Time)
	// End is called exactly once, when the exchange ended.
	End(now time.Time, o Outcome)
}

// NoObserver is an Observer that ignores all events.
type NoObserver struct{}

// Begin implements Observer.
func (NoObserver) Begin(string, string, time.Time) Exchange { return noExchange{} }

type noExchange struct{}

func (noExchange) Sent(time.Time)         {}
func (noExchange) Head(time.Time)         {}
func (noExchange) End(time.Time, Outcome) {}

var outcomeNames = [...]string{
	"", "answered", "error", "shed", "truncated", "crossed", "unreachable", "aborted", "timeout", "cancelled",
}

// String returns the name of the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }
