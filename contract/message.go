package contract

import "time"

// LeaseRequest is one message of a holder to a home. It states everything that the holder has from this home: an account
// without a line has been let go. A holder keeps one request under way to each home and ignores
// the replies to earlier ones, so what a request states is all that can still be used.
type LeaseRequest struct {
	// Holder is the instance that asks.
	Holder string `json:"holder"`
	// Coordinator is the process that is asked; another one at its address refuses.
	Coordinator string `json:"home"`
	// Session is the number that the home gave, 0 to open a session.
	Session uint64 `json:"session,omitempty"`
	// Seq grows with every request of the session.
	Seq      uint64           `json:"seq"`
	Accounts []AccountRequest `json:"lines,omitempty"`
}

// AccountRequest is what a holder states and wants of one account.
type AccountRequest struct {
	Account string `json:"a"`
	// Total is the account's rate and burst as the holder knows them.
	Total Quota `json:"w"`
	// Held is what the holder has now; what it had beyond that is let go.
	Held Quota `json:"h"`
	// Returned are unused tokens that the holder gave up.
	Returned Tokens `json:"back,omitempty"`
	// Demand is in tokens per second.
	Demand Tokens `json:"d,omitempty"`
	// Want is what waiting requests need at once.
	Want Tokens `json:"want,omitempty"`
}

// LeaseReply is a home's answer to a Request.
type LeaseReply struct {
	Session uint64 `json:"session"`
	Seq     uint64 `json:"seq"`
	// Unknown says that the session lapsed; everything in it is void.
	Unknown bool    `json:"unknown,omitempty"`
	Grants  []Grant `json:"grants,omitempty"`
}

// Grant is the lease of one account, for the lease term from the moment when the request was sent.
type Grant struct {
	Account string `json:"a"`
	// Total is the account's rate and burst that the lease is a part of.
	Total Quota `json:"w"`
	// Quota is the whole lease, in place of what was held.
	Quota Quota `json:"s"`
	// Level is what is added to the tokens that the holder has.
	Level Tokens `json:"l,omitempty"`
	// After is when to ask again for what was wanted and not given.
	After time.Duration `json:"after,omitempty"`
}

// Nudge asks a holder to send a request now. Losing it costs time only.
type Nudge struct {
	// Coordinator is the instance that asks.
	Coordinator string `json:"home"`
	Session     uint64 `json:"session"`
	Account     string `json:"a"`
	// Quota is what the holder is asked to come down to.
	Quota Quota `json:"s"`
	// Recall says that Share applies; otherwise tokens are ready for the holder in After.
	Recall bool          `json:"recall,omitempty"`
	After  time.Duration `json:"after,omitempty"`
}
