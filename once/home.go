package once

import (
	"slices"
	"time"
)

const (
	// generationTime is how long one generation of a home lasts, in the home's own time.
	generationTime = time.Hour
	// generations is how many generations a home remembers: a key can be used for 24 to 25 hours after its
	// prefix was given out.
	generations = 25
	// maxClaims bounds the keys that a home remembers; when it is full, it grants nothing new.
	maxClaims = 20_000
	// MaxRecordBytes bounds one recorded answer.
	MaxRecordBytes = 16 << 10
	// maxRecords bounds the recorded answers of a home, in bytes; the oldest are dropped, the claims stay.
	maxRecords = 16 << 20
	// limitMargin is added to the time that a try may take before its claim counts as overdue.
	limitMargin = time.Second
)

// claimID names a claim.
type claimID struct{ account, key string }

// claim is the grant of a key to one try.
type claim struct {
	try, digest string
	until       time.Time
	outcome     Outcome // "" while the try may still be at work
	record      *Record
}

// Replica grants keys. It lives in one process at a time and is not safe for concurrent use.
type Replica struct {
	id          string
	born        time.Time
	claims      map[claimID]*claim
	generations map[uint64][]claimID
	oldest      uint64 // the oldest generation that is remembered
	handedAt    uint64 // the generation in which a home was handed over; it gives out no prefix since
	recorded    []claimID
	bytes       int
}

// NewReplica returns a home that knows no keys; id is the identity of the process.
func NewReplica(id string, now time.Time) *Replica {
	return &Replica{
		id:          id,
		born:        now,
		claims:      make(map[claimID]*claim),
		generations: make(map[uint64][]claimID),
	}
}

// Generation returns the present generation and forgets those that are over.
func (h *Replica) Generation(now time.Time) uint64 {
	current := uint64(max(now.Sub(h.born), 0) / generationTime)
	for current >= generations && h.oldest <= current-generations {
		for _, id := range h.generations[h.oldest] {
			h.forget(id)
		}
		delete(h.generations, h.oldest)
		h.oldest++
		h.recorded = slices.DeleteFunc(h.recorded, h.unknown)
	}
	return current
}

// unknown reports whether no claim of that name is remembered.
func (h *Replica) unknown(id claimID) bool {
	_, ok := h.claims[id]
	return !ok
}

func (h *Replica) forget(id claimID) {
	if c, ok := h.claims[id]; ok && c.record != nil {
		h.bytes -= c.record.size()
	}
	delete(h.claims, id)
}

// speaksFor returns the generation of a key that this home can grant.
func (h *Replica) speaksFor(now time.Time, home, text string) (uint64, bool) {
	k, err := ParseKey(text)
	if err != nil || home != h.id {
		return 0, false
	}
	i := k.index(h.id)
	if i < 0 {
		return 0, false
	}
	current := h.Generation(now)
	g := k.Replicas[i].Generation
	return g, g <= current && g >= h.oldest
}

// Claim answers a try that asks for a key.
func (h *Replica) Claim(now time.Time, call ClaimRequest) ClaimResponse {
	generation, ok := h.speaksFor(now, call.Replica, call.Key)
	if !ok {
		return ClaimResponse{State: CannotGrant}
	}
	id := claimID{call.Account, call.Key}
	if c, ok := h.claims[id]; ok {
		return c.answer(now, call)
	}
	if len(h.claims) >= maxClaims {
		return ClaimResponse{State: CannotGrant}
	}
	limit := time.Duration(call.TimeoutMillis) * time.Millisecond
	h.add(id, generation, &claim{try: call.RoundID, digest: call.Digest, until: now.Add(limit + limitMargin)})
	return ClaimResponse{State: Granted}
}

func (h *Replica) add(id claimID, generation uint64, c *claim) {
	h.claims[id] = c
	h.generations[generation] = append(h.generations[generation], id)
}

// answer is what a later claim is told.
func (c *claim) answer(now time.Time, call ClaimRequest) ClaimResponse {
	switch {
	case c.digest != call.Digest && c.outcome == Ran:
		return ClaimResponse{State: MismatchDone}
	case c.digest != call.Digest:
		return ClaimResponse{State: Mismatch}
	case c.outcome == Ran:
		return ClaimResponse{State: Done, Record: c.record}
	case c.outcome == MayHaveRun:
		return ClaimResponse{State: Unknown}
	case c.try == call.RoundID:
		return ClaimResponse{State: Granted}
	case now.After(c.until):
		return ClaimResponse{State: Overdue}
	}
	return ClaimResponse{State: Running}
}

// Settle notes how a try ended. Whoever ran had a majority, so that what it says stands above any claim.
func (h *Replica) Settle(now time.Time, call SettleRequest) {
	generation, ok := h.speaksFor(now, call.Replica, call.Key)
	if !ok {
		return
	}
	id := claimID{call.Account, call.Key}
	c, ok := h.claims[id]
	if call.Outcome == Released {
		if ok && c.try == call.RoundID && c.outcome == "" {
			h.release(id, generation)
		}
		return
	}
	if ok && c.outcome == Ran {
		return
	}
	if !ok {
		c = &claim{}
		h.add(id, generation, c)
	}
	c.try, c.digest, c.outcome = call.RoundID, call.Digest, call.Outcome
	if call.Outcome == Ran {
		h.keep(id, c, call.Record)
	}
}

// release forgets the claim of a try that was not run.
func (h *Replica) release(id claimID, generation uint64) {
	delete(h.claims, id)
	list := h.generations[generation]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == id {
			h.generations[generation] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// keep records an answer and drops the oldest ones that no longer fit.
func (h *Replica) keep(id claimID, c *claim, r *Record) {
	if r == nil || r.size() > MaxRecordBytes {
		return
	}
	c.record = r
	h.bytes += r.size()
	h.recorded = append(h.recorded, id)
	for h.bytes > maxRecords {
		h.dropRecord()
	}
}

func (h *Replica) dropRecord() {
	id := h.recorded[0]
	h.recorded = h.recorded[1:]
	if c, ok := h.claims[id]; ok && c.record != nil {
		h.bytes -= c.record.size()
		c.record = nil
	}
}

// ReplicaStats are the counters of a home.
type ReplicaStats struct {
	Generation  uint64 `json:"generation"`
	Grants      int    `json:"claims"`
	RecordBytes int    `json:"recordBytes"`
}

// Stats returns the counters.
func (h *Replica) Stats(now time.Time) ReplicaStats {
	return ReplicaStats{Generation: h.Generation(now), Grants: len(h.claims), RecordBytes: h.bytes}
}
