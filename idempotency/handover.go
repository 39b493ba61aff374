package idempotency

import "time"

// At a planned stop, a process hands its replicas over to other instances. It first seals a replica, which then
// responds to no more requests. It sends the replica's state in parts to a successor, which stores them without using
// them, and then commits the transfer to that successor only. Whichever messages are lost, at most one process hosts
// the replica.

const (
	// maxPartBytes is the approximate bound of one part of a replica's state. An encoded part stays below the size
	// limit of a message between instances.
	maxPartBytes = 1 << 20
	// grantBytes is the approximate size of a grant in a part, without its record.
	grantBytes = 512
	// maxIncoming bounds the replicas that are being received at the same time, and maxParts the parts of one replica.
	maxIncoming = 4
	maxParts    = 64
)

// GrantSnapshot is the state of a grant that is handed over to a successor.
type GrantSnapshot struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	RoundID string `json:"try"`
	Digest  string `json:"digest"`
	// RemainingMillis is the time until the grant is overdue, in milliseconds.
	RemainingMillis int64   `json:"leftMillis"`
	Outcome         Outcome `json:"outcome"`
	Record          *Record `json:"record,omitempty"`
}

// HandOverPart carries one part of a replica's state.
type HandOverPart struct {
	Replica string `json:"home"`
	// TransferID identifies the transfer of a replica to one successor.
	TransferID string `json:"transfer"`
	Number     int    `json:"number"`
	// AgeMillis is the replica's age when its state was exported, in milliseconds.
	AgeMillis int64           `json:"ageMillis"`
	Grants    []GrantSnapshot `json:"claims"`
}

// CommitRequest asks a successor to host a replica from now on.
type CommitRequest struct {
	Replica    string `json:"home"`
	TransferID string `json:"transfer"`
	Parts      int    `json:"parts"`
}

// HandOverResponse reports whether a part was stored or a commit took effect.
type HandOverResponse struct {
	Accepted bool `json:"accepted"`
}

// export returns the replica's state in parts.
func (r *Replica) export(now time.Time, transferID string) []HandOverPart {
	r.Generation(now)
	empty := HandOverPart{Replica: r.id, TransferID: transferID, AgeMillis: now.Sub(r.createdAt).Milliseconds()}
	parts := []HandOverPart{empty}
	size := 0
	for id, g := range r.grants {
		own := grantBytes
		if g.record != nil {
			own += g.record.size()
		}
		if size += own; size > maxPartBytes {
			next := empty
			next.Number = len(parts)
			parts = append(parts, next)
			size = own
		}
		last := &parts[len(parts)-1]
		last.Grants = append(last.Grants, g.snapshot(id, now))
	}
	return parts
}

func (g *grant) snapshot(id grantID, now time.Time) GrantSnapshot {
	return GrantSnapshot{
		Account: id.account, Key: id.key, RoundID: g.roundID, Digest: g.digest,
		RemainingMillis: g.overdueAt.Sub(now).Milliseconds(), Outcome: g.outcome, Record: g.record,
	}
}

// restore builds a replica from the parts of its state.
func restore(now time.Time, parts map[int]HandOverPart) *Replica {
	first := parts[0]
	r := NewReplica(first.Replica, now.Add(-time.Duration(first.AgeMillis)*time.Millisecond))
	r.handOverGeneration = r.Generation(now)
	for _, p := range parts {
		for _, s := range p.Grants {
			r.restoreGrant(now, s)
		}
	}
	return r
}

func (r *Replica) restoreGrant(now time.Time, s GrantSnapshot) {
	generation, ok := r.keyGeneration(now, r.id, s.Key)
	if !ok {
		return
	}
	id := grantID{s.Account, s.Key}
	g := &grant{
		roundID: s.RoundID, digest: s.Digest, outcome: s.Outcome,
		overdueAt: now.Add(time.Duration(s.RemainingMillis) * time.Millisecond),
	}
	r.add(id, generation, g)
	r.storeRecord(id, g, s.Record)
}

// incomingTransfer holds the parts of a replica that is being received.
type incomingTransfer struct {
	transferID string
	parts      map[int]HandOverPart
}

// ReplicaHost holds the replicas that a process hosts: its own, and those that were handed over to it. It is not
// safe for concurrent use.
type ReplicaHost struct {
	id       string
	replicas map[string]*Replica
	// everHosted holds the IDs of all replicas that this process ever hosted. It never accepts one of them again.
	everHosted map[string]struct{}
	incoming   map[string]*incomingTransfer
}

// NewReplicaHost returns the host of a process with the process's own, empty replica.
func NewReplicaHost(id string, now time.Time) *ReplicaHost {
	return &ReplicaHost{
		id:         id,
		replicas:   map[string]*Replica{id: NewReplica(id, now)},
		everHosted: map[string]struct{}{id: {}},
		incoming:   make(map[string]*incomingTransfer),
	}
}

// Claim passes a claim to the replica that it names.
func (h *ReplicaHost) Claim(now time.Time, req ClaimRequest) ClaimResponse {
	replica, ok := h.replicas[req.Replica]
	if !ok {
		return ClaimResponse{State: NotHosted}
	}
	return replica.Claim(now, req)
}

// Settle records the outcome of an attempt at the replica that the request names.
func (h *ReplicaHost) Settle(now time.Time, req SettleRequest) SettleResponse {
	replica, ok := h.replicas[req.Replica]
	if !ok {
		return SettleResponse{NotHosted: true}
	}
	replica.Settle(now, req)
	return SettleResponse{}
}

// ReplicaIDs returns the IDs of the replicas that this process hosts.
func (h *ReplicaHost) ReplicaIDs() []string {
	out := make([]string, 0, len(h.replicas))
	for id := range h.replicas {
		out = append(out, id)
	}
	return out
}

// Seal permanently removes a replica from this host and returns it for the hand-over to a successor.
func (h *ReplicaHost) Seal(id string) *Replica {
	replica := h.replicas[id]
	delete(h.replicas, id)
	return replica
}

// Part stores a part of a replica's state until the commit.
func (h *ReplicaHost) Part(p HandOverPart) HandOverResponse {
	if _, ok := h.everHosted[p.Replica]; ok || p.Number < 0 || p.Number >= maxParts {
		return HandOverResponse{}
	}
	t, ok := h.incoming[p.Replica]
	if !ok && len(h.incoming) >= maxIncoming {
		return HandOverResponse{}
	}
	if !ok || t.transferID != p.TransferID {
		t = &incomingTransfer{transferID: p.TransferID, parts: make(map[int]HandOverPart)}
		h.incoming[p.Replica] = t
	}
	t.parts[p.Number] = p
	return HandOverResponse{Accepted: true}
}

// Commit makes this process the host of a replica of which it has all parts. A repeated commit gets the same response.
func (h *ReplicaHost) Commit(now time.Time, req CommitRequest) HandOverResponse {
	if _, ok := h.replicas[req.Replica]; ok {
		return HandOverResponse{Accepted: true}
	}
	t, ok := h.incoming[req.Replica]
	if !ok || t.transferID != req.TransferID || len(t.parts) != req.Parts {
		return HandOverResponse{}
	}
	delete(h.incoming, req.Replica)
	h.everHosted[req.Replica] = struct{}{}
	h.replicas[req.Replica] = restore(now, t.parts)
	return HandOverResponse{Accepted: true}
}

// Expire drops replicas of other processes once every prefix that they issued has expired.
func (h *ReplicaHost) Expire(now time.Time) {
	for id, replica := range h.replicas {
		if id != h.id && replica.Generation(now) >= replica.handOverGeneration+keptGenerations {
			delete(h.replicas, id)
		}
	}
}
