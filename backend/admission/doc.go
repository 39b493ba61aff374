// Package admission decides at the exit side which requests reach the one backend server behind it, and in which order.
//
// A Controller joins three plain state machines. The Breaker takes the backend server out of use after a broken
// exchange, for less than two seconds, and lets requests that may be repeated prove it again before any other. The queue
// hands out slots by priority, and by deadline within one, and refuses at once what can't start in time. The Budget bounds
// repeats by the first arrivals here; since every arrival passes the gate of its backend server, the sum over all gates keeps
// the bound of the service whatever the instances know of each other.
//
// A refusal is given before any byte was sent, so it always means "not run".
package admission
