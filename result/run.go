package result

// RunStatus tells whether a request reached a backend server.
type RunStatus string

// The three things that can be said about a request.
const (
	// NotRun means that no byte of the request can have reached a backend server.
	NotRun RunStatus = "not-run"
	// MayHaveRun means that the request was handed over and its outcome is unknown.
	MayHaveRun RunStatus = "may-have-run"
	// Ran means that a backend server answered the request.
	Ran RunStatus = "run"
)
