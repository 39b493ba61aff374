// Package pipelining processes the requests that a client sends ahead on one HTTP/1.1 connection at the same time.
//
// An http.Server reads the next request of a connection only after it has answered the one before. A Conn between the
// network and the server delimits the requests, so that the server never receives a byte of the next request before its
// turn, and reads ahead while the server processes a request. Requests that were received whole are passed to the
// handler at once, each in a goroutine of its own, and their responses wait. When the server reaches such a request, it
// parses the same bytes again; if the result is the same request, the response that waits is written, and otherwise the
// early processing is cancelled and the request is processed as usual. So the server alone decides what a request is and
// in which order responses are written, and the early processing can only be of no use.
//
// That is allowed only for requests that may run more than once, so Server.MayOverlap must report true for the request
// and for all before it that have no response yet. A request with a body, with "Connection: close" or with a head that
// two parsers might read differently is not processed ahead of its turn, nor is any request behind it.
//
// The number of requests and the bytes that are read ahead of the server are bounded for each connection, and the
// requests also for the whole process. The memory of a waiting response is bounded by the handler: its first write waits
// for the turn of the request.
package pipelining
