package quota

import "time"

// LeaseRequest is a message of a holder to a coordinator. It states everything that the holder has from this
// coordinator: an account that is not listed has been released. A holder has at most one request in flight to each
// coordinator and ignores replies to earlier ones, so the holder can use nothing beyond what its latest request states.
type LeaseRequest struct {
	// Holder is the instance that sends the request.
	Holder string `json:"holder"`
	// Coordinator is the process that the request is for; another process at the same address refuses it.
	Coordinator string `json:"home"`
	// Session is the number that the coordinator assigned, or 0 to open a session.
	Session uint64 `json:"session,omitempty"`
	// Seq grows with every request of the session.
	Seq      uint64           `json:"seq"`
	Accounts []AccountRequest `json:"lines,omitempty"`
}

// AccountRequest is what a holder states and requests of one account.
type AccountRequest struct {
	Account string `json:"a"`
	// Total is the quota of the whole account as the holder knows it.
	Total Quota `json:"w"`
	// Held is the quota that the holder has now; anything that it had beyond that is released.
	Held Quota `json:"h"`
	// Returned are the unused tokens that the holder gives back.
	Returned Tokens `json:"back,omitempty"`
	// Demand is in tokens per second.
	Demand Tokens `json:"d,omitempty"`
	// Want is the number of tokens that waiting requests need at once.
	Want Tokens `json:"want,omitempty"`
}

// LeaseReply is the reply of a coordinator to a LeaseRequest.
type LeaseReply struct {
	Session uint64 `json:"session"`
	Seq     uint64 `json:"seq"`
	// Unknown means that the session has expired, and with it all its leases.
	Unknown bool    `json:"unknown,omitempty"`
	Grants  []Grant `json:"grants,omitempty"`
}

// Grant is the lease of one account. Its term counts from the moment when the request was sent.
type Grant struct {
	Account string `json:"a"`
	// Total is the quota of the whole account of which the lease is a part.
	Total Quota `json:"w"`
	// Quota is the whole lease; it replaces what was held.
	Quota Quota `json:"s"`
	// Level is the number of tokens that is added to those of the holder.
	Level Tokens `json:"l,omitempty"`
	// After is how long to wait before asking again for tokens that were requested and not granted.
	After time.Duration `json:"after,omitempty"`
}

// Nudge asks a holder to send a request now. A lost nudge only costs time.
type Nudge struct {
	// Coordinator is the instance that sends the nudge.
	Coordinator string `json:"home"`
	Session     uint64 `json:"session"`
	Account     string `json:"a"`
	// Quota is what the holder should reduce its lease to.
	Quota Quota `json:"s"`
	// Recall means that Quota applies; otherwise tokens will be ready for the holder after After.
	Recall bool          `json:"recall,omitempty"`
	After  time.Duration `json:"after,omitempty"`
}
