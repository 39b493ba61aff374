package backend

import "time"

// Outcome is how one exchange with a backend server ended, as the exit side saw it.
type Outcome int

// The outcomes of an exchange.
const (
	// OutcomeAnswered is a whole answer with a status below 500.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeError is a whole answer with a status from 500, except 503.
	OutcomeError
	// OutcomeShed is a whole answer with status 503: the backend server sheds load.
	OutcomeShed
	// OutcomeTruncated is an answer that broke off.
	OutcomeTruncated
	// OutcomeCrossed is an answer to another request.
	OutcomeCrossed
	// OutcomeUnreachable is a connection that could not be made.
	OutcomeUnreachable
	// OutcomeAborted is a connection that broke before an answer.
	OutcomeAborted
	// OutcomeTimeout is a request whose time limit passed at the backend server.
	OutcomeTimeout
	// OutcomeCancelled is a request whose caller went away.
	OutcomeCancelled
)

// Observer watches the exchanges with the backend servers of an instance.
type Observer interface {
	// Begin notes that a request of a route is handed to the backend server, and returns its exchange.
	Begin(backend, route string, now time.Time) Exchange
}

// Exchange is one request at a backend server.
type Exchange interface {
	// Sent notes that the whole request was sent, so that a caller's slow sending does not count.
	Sent(now time.Time)
	// Head notes that the answer's head came.
	Head(now time.Time)
	// End notes how the exchange ended; it is called exactly once.
	End(now time.Time, o Outcome)
}

// NoObserver observes nothing.
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

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }
