package once

import "time"

// A planned stop hands a home over: the process seals it, so that it answers nothing more, sends its state in parts to
// a successor, which keeps them aside, and then commits to that successor alone. Whatever is lost on the way, at most
// one process answers for the home.

const (
	// partBytes bounds a part of a home's state, roughly; it stays below a message's bound when encoded.
	partBytes = 1 << 20
	// claimBytes is about what a claim takes in a part beside its record.
	claimBytes = 512
	// maxArrivals bounds the homes that are being received at once; maxParts the parts of one.
	maxArrivals = 4
	maxParts    = 64
)

// GrantSnapshot is a claim on its way to a successor.
type GrantSnapshot struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	RoundID string `json:"try"`
	Digest  string `json:"digest"`
	// RemainingMillis is what is left until the claim is overdue, in milliseconds.
	RemainingMillis int64   `json:"leftMillis"`
	Outcome         Outcome `json:"outcome"`
	Record          *Record `json:"record,omitempty"`
}

// HandOverPart carries a part of a home's state.
type HandOverPart struct {
	Replica string `json:"home"`
	// TransferID names the handing over to one successor.
	TransferID string `json:"transfer"`
	Number     int    `json:"number"`
	// AgeMillis is the home's age when it was sealed, in milliseconds.
	AgeMillis int64           `json:"ageMillis"`
	Grants    []GrantSnapshot `json:"claims"`
}

// CommitRequest makes a successor answer for a home.
type CommitRequest struct {
	Replica    string `json:"home"`
	TransferID string `json:"transfer"`
	Parts      int    `json:"parts"`
}

// HandOverResponse says whether a part was kept or a commit took effect.
type HandOverResponse struct {
	Accepted bool `json:"accepted"`
}

// export returns the home's state.
func (h *Replica) export(now time.Time, transfer string) []HandOverPart {
	h.Generation(now)
	empty := HandOverPart{Replica: h.id, TransferID: transfer, AgeMillis: now.Sub(h.born).Milliseconds()}
	parts := []HandOverPart{empty}
	size := 0
	for id, c := range h.claims {
		own := claimBytes
		if c.record != nil {
			own += c.record.size()
		}
		if size += own; size > partBytes {
			next := empty
			next.Number = len(parts)
			parts = append(parts, next)
			size = own
		}
		last := &parts[len(parts)-1]
		last.Grants = append(last.Grants, c.state(id, now))
	}
	return parts
}

func (c *claim) state(id claimID, now time.Time) GrantSnapshot {
	return GrantSnapshot{
		Account: id.account, Key: id.key, RoundID: c.try, Digest: c.digest,
		RemainingMillis: c.until.Sub(now).Milliseconds(), Outcome: c.outcome, Record: c.record,
	}
}

// restore builds a home from the parts of its state.
func restore(now time.Time, parts map[int]HandOverPart) *Replica {
	first := parts[0]
	h := NewReplica(first.Replica, now.Add(-time.Duration(first.AgeMillis)*time.Millisecond))
	h.handedAt = h.Generation(now)
	for _, p := range parts {
		for _, s := range p.Grants {
			h.restoreClaim(now, s)
		}
	}
	return h
}

func (h *Replica) restoreClaim(now time.Time, s GrantSnapshot) {
	generation, ok := h.speaksFor(now, h.id, s.Key)
	if !ok {
		return
	}
	id := claimID{s.Account, s.Key}
	c := &claim{try: s.RoundID, digest: s.Digest, outcome: s.Outcome, until: now.Add(time.Duration(s.RemainingMillis) * time.Millisecond)}
	h.add(id, generation, c)
	h.keep(id, c, s.Record)
}

// arrival is a home that is being received.
type arrival struct {
	transfer string
	parts    map[int]HandOverPart
}

// ReplicaHost holds the homes that a process answers for: its own, and those that were handed over to it. It is not safe
// for concurrent use.
type ReplicaHost struct {
	id    string
	homes map[string]*Replica
	// known are the homes that ever were here; none comes a second time.
	known    map[string]struct{}
	arriving map[string]*arrival
}

// NewReplicaHost returns the host of a process with its own, empty home.
func NewReplicaHost(id string, now time.Time) *ReplicaHost {
	return &ReplicaHost{
		id:       id,
		homes:    map[string]*Replica{id: NewReplica(id, now)},
		known:    map[string]struct{}{id: {}},
		arriving: make(map[string]*arrival),
	}
}

// Claim answers a claim for the home that it names.
func (h *ReplicaHost) Claim(now time.Time, call ClaimRequest) ClaimResponse {
	home, ok := h.homes[call.Replica]
	if !ok {
		return ClaimResponse{State: NotHosted}
	}
	return home.Claim(now, call)
}

// Settle notes how a try ended at the home that it names.
func (h *ReplicaHost) Settle(now time.Time, call SettleRequest) SettleResponse {
	home, ok := h.homes[call.Replica]
	if !ok {
		return SettleResponse{NotHosted: true}
	}
	home.Settle(now, call)
	return SettleResponse{}
}

// ReplicaIDs returns the identities of the homes here.
func (h *ReplicaHost) ReplicaIDs() []string {
	out := make([]string, 0, len(h.homes))
	for id := range h.homes {
		out = append(out, id)
	}
	return out
}

// Seal ends a home here for good and returns it for its successor.
func (h *ReplicaHost) Seal(id string) *Replica {
	home := h.homes[id]
	delete(h.homes, id)
	return home
}

// Part keeps a part of a home's state aside.
func (h *ReplicaHost) Part(p HandOverPart) HandOverResponse {
	if _, ok := h.known[p.Replica]; ok || p.Number < 0 || p.Number >= maxParts {
		return HandOverResponse{}
	}
	a, ok := h.arriving[p.Replica]
	if !ok && len(h.arriving) >= maxArrivals {
		return HandOverResponse{}
	}
	if !ok || a.transfer != p.TransferID {
		a = &arrival{transfer: p.TransferID, parts: make(map[int]HandOverPart)}
		h.arriving[p.Replica] = a
	}
	a.parts[p.Number] = p
	return HandOverResponse{Accepted: true}
}

// Commit makes this host answer for a home whose parts are all here. Sent again, it gives the same answer.
func (h *ReplicaHost) Commit(now time.Time, c CommitRequest) HandOverResponse {
	if _, ok := h.homes[c.Replica]; ok {
		return HandOverResponse{Accepted: true}
	}
	a, ok := h.arriving[c.Replica]
	if !ok || a.transfer != c.TransferID || len(a.parts) != c.Parts {
		return HandOverResponse{}
	}
	delete(h.arriving, c.Replica)
	h.known[c.Replica] = struct{}{}
	h.homes[c.Replica] = restore(now, a.parts)
	return HandOverResponse{Accepted: true}
}

// Expire drops homes of others all of whose prefixes are too old.
func (h *ReplicaHost) Expire(now time.Time) {
	for id, home := range h.homes {
		if id != h.id && home.Generation(now) >= home.handedAt+generations {
			delete(h.homes, id)
		}
	}
}
