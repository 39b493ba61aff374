// Package balancer selects the endpoint for each attempt of a request.
//
// A Selector works with the endpoints that the membership announces, the load that is reported with responses, and the
// requests that this instance has in flight. It prefers endpoints with a free slot in its own failure domain; if none
// has a free slot, it considers all endpoints of the service.
//
// Two rules limit the endpoints it considers. First, an ejection is only advice from the exit side (the proxy next to
// the backend server), and the entry side applies the floor: ApplyFloor decides which ejected endpoints stay in use,
// from the local view of each instance and without coordination. Second, each instance has a circuit breaker for its
// link to every other instance. An open breaker affects this instance only and says nothing about the endpoints
// behind the link.
//
// The request path of a Selector reads immutable plans and atomic counters. It allocates nothing, and it takes no lock
// after a complete response over a link without earlier failures.
//
// A CostSelector is the alternative for instances that each send few of an endpoint's requests.
package balancer
