// Package health detects unhealthy backend servers by outlier detection: it judges each one by the requests that ran at
// it, compared with the other endpoints of the same service, its peers.
//
// A Detector collects three kinds of evidence separately. Failed requests (error responses, truncated or crossed
// responses, broken and refused connections) feed a cumulative sum test (CUSUM) of the failure rate against the
// failure rate of the peers. The times until the response header feed a second cumulative sum test, of the
// distribution of times against the same distribution several times slower. It uses logarithmic buckets, so that heavy
// tails cause no false verdict. Finally, the ages of the requests in flight, since the last response header arrived,
// are compared with the ages that requests in the busy slots of a healthy server have.
//
// Shed requests are no evidence. Cancelled requests and those whose time limit expired only show that the response
// would have taken at least that long. The time that a client takes to send its request body or to read the response
// is not counted.
//
// A verdict ejects the backend server for a hold time that grows with each repetition; afterwards, successful trial
// requests return it to use. The Detector is a plain state machine that takes the time as an argument.
package health
