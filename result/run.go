package result

// RunStatus states whether a backend server has run a request.
type RunStatus string

// The run statuses.
const (
	// NotRun means that no backend server can have run the request: none received it completely, or the one that
	// did rejected it without running it.
	NotRun RunStatus = "not-run"
	// MayHaveRun means that the request was sent to a backend server and its outcome is unknown.
	MayHaveRun RunStatus = "may-have-run"
	// Ran means that a backend server responded to the request.
	Ran RunStatus = "run"
)
