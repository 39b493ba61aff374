package idempotency

import (
	"slices"
	"time"
)

const (
	// generationDuration is the duration of one generation of a replica, on the replica's own clock.
	generationDuration = time.Hour
	// keptGenerations is how many generations a replica remembers: a key can be used for 24 to 25 hours after its
	// prefix was issued.
	keptGenerations = 25
	// maxGrants bounds the keys that a replica remembers. A full replica grants no new keys.
	maxGrants = 20_000
	// MaxRecordBytes bounds one recorded response.
	MaxRecordBytes = 16 << 10
	// maxTotalRecordBytes bounds the recorded responses of a replica together. Beyond it, the oldest records are
	// dropped and their grants stay.
	maxTotalRecordBytes = 16 << 20
	// timeoutMargin is added to the timeout of an attempt before its grant counts as overdue.
	timeoutMargin = time.Second
)

// grantID identifies a grant.
type grantID struct{ account, key string }

// grant is a replica's grant of a key to one attempt.
type grant struct {
	roundID, digest string
	overdueAt       time.Time
	outcome         Outcome // "" while the attempt may still be in flight
	record          *Record
}

// Replica grants keys. It lives in one process at a time and is not safe for concurrent use.
type Replica struct {
	id          string
	createdAt   time.Time
	grants      map[grantID]*grant
	generations map[uint64][]grantID
	// oldestGeneration is the oldest generation that the replica remembers.
	oldestGeneration uint64
	// handOverGeneration is the generation in which the replica was handed over. It issues no prefixes after that.
	handOverGeneration uint64
	// recordOrder lists the grants with a record, the oldest record first.
	recordOrder []grantID
	recordBytes int
}

// NewReplica returns a replica without any grants; id is the identity of the process.
func NewReplica(id string, now time.Time) *Replica {
	return &Replica{
		id:          id,
		createdAt:   now,
		grants:      make(map[grantID]*grant),
		generations: make(map[uint64][]grantID),
	}
}

// Generation returns the current generation and forgets the expired ones.
func (r *Replica) Generation(now time.Time) uint64 {
	current := uint64(max(now.Sub(r.createdAt), 0) / generationDuration)
	for current >= keptGenerations && r.oldestGeneration <= current-keptGenerations {
		for _, id := range r.generations[r.oldestGeneration] {
			r.forget(id)
		}
		delete(r.generations, r.oldestGeneration)
		r.oldestGeneration++
		r.recordOrder = slices.DeleteFunc(r.recordOrder, r.isForgotten)
	}
	return current
}

// isForgotten reports whether the replica has no grant with this ID.
func (r *Replica) isForgotten(id grantID) bool {
	_, ok := r.grants[id]
	return !ok
}

func (r *Replica) forget(id grantID) {
	if g, ok := r.grants[id]; ok && g.record != nil {
		r.recordBytes -= g.record.size()
	}
	delete(r.grants, id)
}

// keyGeneration returns the generation of a key's prefix and reports whether this replica can grant the key.
func (r *Replica) keyGeneration(now time.Time, replicaID, text string) (uint64, bool) {
	k, err := ParseKey(text)
	if err != nil || replicaID != r.id {
		return 0, false
	}
	i := k.index(r.id)
	if i < 0 {
		return 0, false
	}
	current := r.Generation(now)
	generation := k.Replicas[i].Generation
	return generation, generation <= current && generation >= r.oldestGeneration
}

// Claim responds to an attempt that asks for a key.
func (r *Replica) Claim(now time.Time, req ClaimRequest) ClaimResponse {
	generation, ok := r.keyGeneration(now, req.Replica, req.Key)
	if !ok {
		return ClaimResponse{State: CannotGrant}
	}
	id := grantID{req.Account, req.Key}
	if g, ok := r.grants[id]; ok {
		return g.response(now, req)
	}
	if len(r.grants) >= maxGrants {
		return ClaimResponse{State: CannotGrant}
	}
	timeout := time.Duration(req.TimeoutMillis) * time.Millisecond
	r.add(id, generation, &grant{roundID: req.RoundID, digest: req.Digest, overdueAt: now.Add(timeout + timeoutMargin)})
	return ClaimResponse{State: Granted}
}

func (r *Replica) add(id grantID, generation uint64, g *grant) {
	r.grants[id] = g
	r.generations[generation] = append(r.generations[generation], id)
}

// response returns the response to a later claim of the same key.
func (g *grant) response(now time.Time, req ClaimRequest) ClaimResponse {
	switch {
	case g.digest != req.Digest && g.outcome == Ran:
		return ClaimResponse{State: MismatchDone}
	case g.digest != req.Digest:
		return ClaimResponse{State: Mismatch}
	case g.outcome == Ran:
		return ClaimResponse{State: Done, Record: g.record}
	case g.outcome == MayHaveRun:
		return ClaimResponse{State: Unknown}
	case g.roundID == req.RoundID:
		return ClaimResponse{State: Granted}
	case now.After(g.overdueAt):
		return ClaimResponse{State: Overdue}
	}
	return ClaimResponse{State: Running}
}

// Settle records the outcome of an attempt. An attempt that ran had a majority, so its outcome overrides any other
// grant of the key.
func (r *Replica) Settle(now time.Time, req SettleRequest) {
	generation, ok := r.keyGeneration(now, req.Replica, req.Key)
	if !ok {
		return
	}
	id := grantID{req.Account, req.Key}
	g, ok := r.grants[id]
	if req.Outcome == Released {
		if ok && g.roundID == req.RoundID && g.outcome == "" {
			r.release(id, generation)
		}
		return
	}
	if ok && g.outcome == Ran {
		return
	}
	if !ok {
		g = &grant{}
		r.add(id, generation, g)
	}
	g.roundID, g.digest, g.outcome = req.RoundID, req.Digest, req.Outcome
	if req.Outcome == Ran {
		r.storeRecord(id, g, req.Record)
	}
}

// release deletes the grant of an attempt that did not run.
func (r *Replica) release(id grantID, generation uint64) {
	delete(r.grants, id)
	list := r.generations[generation]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == id {
			r.generations[generation] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// storeRecord records a response, and drops the oldest records while the total exceeds its bound.
func (r *Replica) storeRecord(id grantID, g *grant, record *Record) {
	if record == nil || record.size() > MaxRecordBytes {
		return
	}
	g.record = record
	r.recordBytes += record.size()
	r.recordOrder = append(r.recordOrder, id)
	for r.recordBytes > maxTotalRecordBytes {
		r.dropOldestRecord()
	}
}

func (r *Replica) dropOldestRecord() {
	id := r.recordOrder[0]
	r.recordOrder = r.recordOrder[1:]
	if g, ok := r.grants[id]; ok && g.record != nil {
		r.recordBytes -= g.record.size()
		g.record = nil
	}
}

// ReplicaStats are the counters of a replica.
type ReplicaStats struct {
	Generation  uint64 `json:"generation"`
	Grants      int    `json:"claims"`
	RecordBytes int    `json:"recordBytes"`
}

// Stats returns the counters.
func (r *Replica) Stats(now time.Time) ReplicaStats {
	return ReplicaStats{Generation: r.Generation(now), Grants: len(r.grants), RecordBytes: r.recordBytes}
}
