// Package admission decides, on the exit side, which requests reach the one backend server behind it and in which
// order.
//
// A Controller combines plain state machines. The Breaker is a circuit breaker: it takes the backend server out
// of use after a failed exchange, for less than two seconds, and then prefers a repeatable request as the trial that
// must succeed before other requests are sent again. The queue grants slots by the priority of the client account, then
// to nested calls, then by the priority of the route and in order of arrival; it refuses at once a request that cannot
// start in time, unless it may wait beyond its target (lateAdmission). Some slots are kept from requests that take long
// (slotReserve). The RetryBudget limits retries by the number of first attempts that arrive here, and ServerLimit and
// ColdServer limit the rate of requests. Since every request passes the gate of its backend server, the sum over all
// gates respects the limits of the service, whatever the instances know of each other.
//
// A request is refused before any byte of it was sent, so a refusal always means that the request was not run.
package admission
