// Package admission decides, on the exit side, which requests reach the one backend server behind it and in which
// order.
//
// A Controller combines three plain state machines. The Breaker is a circuit breaker: it takes the backend server out
// of use after a failed exchange, for less than two seconds, and then prefers a repeatable request as the trial that
// must succeed before other requests are sent again. The queue grants slots by priority, and among equal priorities to
// nested calls first and then in order of arrival; it refuses at once a request that cannot start in time. The
// RetryBudget limits retries by the number of first attempts that arrive here. Since every request passes the gate of
// its backend server, the sum over all gates respects the limit of the service, whatever the instances know of each
// other.
//
// A request is refused before any byte of it was sent, so a refusal always means that the request was not run.
package admission
