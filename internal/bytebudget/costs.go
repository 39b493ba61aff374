package bytebudget

import "net/http"

// Estimates of what clients make the process keep in memory, in bytes.
const (
	// ConnBytes is what an open connection costs: its goroutines, buffers and timers.
	ConnBytes = 16 << 10
	// RequestBytes is what a request costs on one side while it is processed, apart from its headers and bodies: the
	// buffers of the connections that forward it.
	RequestBytes = 48 << 10
	// StreamBytes is what a body or a response costs beyond the part that is buffered, while it flows through.
	StreamBytes = 64 << 10
	// FieldBytes is what a header field costs beyond its bytes in one parsed copy of a head.
	FieldBytes = 160
	// headerCopies is how many further copies of the headers the processing of a request makes on one side.
	headerCopies = 2
)

// HeadBytes returns what a head of n bytes with a number of lines costs once it is parsed.
func HeadBytes(n, lines int) int64 { return int64(n) + int64(lines)*FieldBytes }

// ProcessingBytes returns what processing a request with these headers costs on one side, without its bodies.
func ProcessingBytes(h http.Header) int64 {
	n, fields := 0, 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
			fields++
		}
	}
	return RequestBytes + headerCopies*HeadBytes(n, fields)
}

const (
	// DefaultMemory is the memory in bytes that a process is assumed to have if its settings name none.
	DefaultMemory = 512 << 20
	// memoryDivisor is the part of the memory that clients may use: a third. The rest is for the configuration and the
	// membership, for the garbage that collections leave in between, and for the errors of the estimates.
	memoryDivisor = 3
	// descriptorsPerConn is how many descriptors are kept for each client connection: its own, those of the link that
	// forwards its request, which has both ends here if the request stays at this instance, that to the backend server, and
	// one for second attempts and requests that are processed ahead of their turn.
	descriptorsPerConn = 5
	// minConns is the number of connections that is allowed in any case.
	minConns = 16
)

// LimitsOf returns the limits for the clients of a process with the given memory in bytes, 0 if it is not limited, and
// number of descriptors. Of 184 MB and 4,100 descriptors, clients get 61 MB and 820 connections.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	l := Limits{Bytes: memory / memoryDivisor}
	// open connections alone must not use up more than half of the bytes
	l.Conns = max(min(descriptors/descriptorsPerConn, int(l.Bytes/(2*ConnBytes))), minConns)
	return l
}
