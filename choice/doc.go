// Package choice chooses the endpoint of each try of a request.
//
// A Selector sees the endpoints that membership announces, the load that rides on answers, and its own requests
// in flight. Among the endpoints of its own failure domain it takes one with a free slot; without one it looks at
// the whole service. Two more rules stand before this. Ejection is advice of the exit side, and the
// floor is enforced here: ApplyFloor decides which ejected endpoints stay in use, in every instance's own view and
// without asking anybody. And a link that fails is left alone by this instance only, which says nothing about
// the endpoints behind it.
//
// The request path reads immutable plans and atomic counters; it allocates nothing and takes no lock after whole
// answers.
package choice
