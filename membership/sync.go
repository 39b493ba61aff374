package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"amaranthstile/result"
)

// digestBuckets is the number of buckets in which two views are compared.
const digestBuckets = 64

// Digest summarizes the live members of a view, so that two instances can find where their views differ.
type Digest [digestBuckets]uint64

// SyncRequest is a request of a synchronization, which has two phases. The first request compares digests, and its
// response holds the updates of the buckets that differ. The requests of the second phase exchange the records that
// either side lacks.
type SyncRequest struct {
	_       struct{} `cbor:",toarray"`
	From    ID
	Digest  []uint64
	Want    []ID
	Updates []memberUpdate
	Records []cbor.RawMessage
}

// SyncResponse is the response to a SyncRequest.
type SyncResponse struct {
	_                struct{} `cbor:",toarray"`
	From             ID
	DifferingBuckets []uint8
	Updates          []memberUpdate
	Records          []cbor.RawMessage
}

// entryHash returns the hash of a member in the digest. It changes with the member's incarnation and version.
func entryHash(id ID, incarnation, version uint64) uint64 {
	h := xxhash.Sum64String(string(id))
	return mixBits(mixBits(h^incarnation) + version)
}

// mixBits distributes the entropy of a value over all its bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (m *member) hash() uint64 { return entryHash(m.id, m.incarnation, m.version) }

func (s *State) selfHash() uint64 { return entryHash(s.self.ID, s.incarnation, s.self.Version) }

// bucketOf returns the bucket of the digest that a member belongs to.
func bucketOf(id ID) int { return int(xxhash.Sum64String(string(id)) % digestBuckets) }

// updateDigest replaces the hash of a member in the digest; 0 means that there is no hash.
func (s *State) updateDigest(id ID, before, after uint64) {
	s.digest[bucketOf(id)] ^= before ^ after
	s.viewHash ^= before ^ after
	s.mismatchSince = time.Time{}
}

// checkViewHash compares the sender's view with the local one. A local view that does not change and differs from all
// others for ViewMismatchTimeout has missed an update, so a synchronization is scheduled.
func (s *State) checkViewHash(now time.Time, m *Message) {
	switch {
	case m.Kind != kindPing && m.Kind != kindAck || m.ViewHash == 0:
	case m.ViewHash == s.viewHash:
		s.mismatchSince = time.Time{}
	case s.mismatchSince.IsZero():
		s.mismatchSince = now
	case now.Sub(s.mismatchSince) >= s.config.ViewMismatchTimeout:
		s.syncNeeded = true
		s.mismatchSince = now
	}
}

// StartSync returns the first request of a synchronization.
func (s *State) StartSync() *SyncRequest {
	s.newcomer = len(s.alive.ids) <= 1
	return &SyncRequest{From: s.self.ID, Digest: slices.Clone(s.digest[:])}
}

// HandleSync answers a request of either phase.
func (s *State) HandleSync(now time.Time, r *SyncRequest) (*SyncResponse, []Action) {
	out := &SyncResponse{From: s.self.ID}
	if len(r.Digest) == digestBuckets {
		for b, v := range s.digest {
			if r.Digest[b] != v {
				out.DifferingBuckets = append(out.DifferingBuckets, uint8(b))
			}
		}
		out.Updates = s.updatesInBuckets(out.DifferingBuckets)
		s.dropKnownUpdates(out.DifferingBuckets)
		return out, s.takeActions()
	}
	bytes := 0
	for _, id := range r.Want[:min(len(r.Want), maxSyncRecords)] {
		update, raw, ok := s.lookup(id)
		if bytes += len(raw); ok && bytes <= maxSyncPayload {
			out.Updates = append(out.Updates, update)
			out.Records = append(out.Records, raw)
		}
	}
	s.merge(now, r.Updates, r.Records)
	return out, s.takeActions()
}

// dropKnownUpdates removes queued updates that a random other instance already has, for example after a mass change.
// Urgent updates and those not sent yet stay in the queue.
func (s *State) dropKnownUpdates(differing []uint8) {
	for id, q := range s.queue {
		if !q.urgent && q.sends > 0 && !slices.Contains(differing, uint8(bucketOf(id))) {
			delete(s.queue, id)
		}
	}
}

// updatesInBuckets returns updates of the live members and of this instance in the given buckets of the digest.
func (s *State) updatesInBuckets(buckets []uint8) []memberUpdate {
	if len(buckets) == 0 {
		return nil
	}
	var selected [digestBuckets]bool
	for _, b := range buckets {
		if b < digestBuckets {
			selected[b] = true
		}
	}
	var out []memberUpdate
	if update, _, ok := s.lookup(s.self.ID); ok && selected[bucketOf(s.self.ID)] {
		out = append(out, update)
	}
	for _, id := range s.alive.ids {
		if selected[bucketOf(id)] && len(out) < maxSyncUpdates {
			out = append(out, s.members[id].update(s.selfIDHash))
		}
	}
	return out
}

// ContinueSync handles the response of the first phase and returns the requests of the second, each of limited size.
func (s *State) ContinueSync(now time.Time, response *SyncResponse) ([]*SyncRequest, []Action) {
	s.dropKnownUpdates(response.DifferingBuckets)
	theirs := make(map[ID]memberUpdate, len(response.Updates))
	for _, u := range response.Updates {
		theirs[u.ID] = u
	}
	push := s.updatesToPush(response.DifferingBuckets, theirs)
	want := s.recordsToRequest(response.Updates)
	s.merge(now, withoutVersions(response.Updates), nil)
	var out []*SyncRequest
	for len(push) > 0 || len(want) > 0 {
		r := &SyncRequest{From: s.self.ID}
		n := min(len(push), maxSyncRecords)
		for _, p := range push[:n] {
			r.Updates = append(r.Updates, p)
			if _, raw, ok := s.lookup(p.ID); ok {
				r.Records = append(r.Records, raw)
			}
		}
		push = push[n:]
		n = min(len(want), maxSyncRecords)
		r.Want, want = want[:n], want[n:]
		out = append(out, r)
	}
	return out, s.takeActions()
}

// updatesToPush returns the updates that the other side lacks: those of live members that are newer here, and those
// of ended members that it considers live.
func (s *State) updatesToPush(buckets []uint8, theirs map[ID]memberUpdate) []memberUpdate {
	var out []memberUpdate
	for _, u := range s.updatesInBuckets(buckets) {
		their, ok := theirs[u.ID]
		if !ok || u.Incarnation > their.Incarnation || u.Version > their.Version {
			out = append(out, u)
		}
	}
	for id, their := range theirs {
		m, ok := s.members[id]
		if ok && !m.live() && !m.localOnly && (m.status == statusLeft || m.incarnation >= their.Incarnation) {
			out = append(out, m.update(s.selfIDHash))
		}
	}
	slices.SortFunc(out, func(a, b memberUpdate) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// recordsToRequest returns the members of which the other side has a newer record.
func (s *State) recordsToRequest(updates []memberUpdate) []ID {
	var out []ID
	for _, u := range updates {
		m, ok := s.members[u.ID]
		if u.ID == s.self.ID || (ok && (!m.live() && m.incarnation >= u.Incarnation || m.version >= u.Version)) {
			continue
		}
		out = append(out, u.ID)
	}
	return out
}

// withoutVersions returns the updates with version 0, so that merge does not pull records that the second phase
// brings.
func withoutVersions(updates []memberUpdate) []memberUpdate {
	out := slices.Clone(updates)
	for i := range out {
		out[i].Version = 0
	}
	return out
}

// FinishSync handles a response of the second phase.
func (s *State) FinishSync(now time.Time, response *SyncResponse) []Action {
	s.suppressBroadcasts = s.newcomer // the rest of the fleet already has what a newcomer learns
	s.merge(now, response.Updates, response.Records)
	s.suppressBroadcasts = false
	return s.takeActions()
}

// merge applies the updates and records of a synchronization, without a sender address from which records could be
// pulled.
func (s *State) merge(now time.Time, updates []memberUpdate, records []cbor.RawMessage) {
	for _, u := range updates {
		if u.Status == statusAlive || u.Status == statusSuspect {
			u.Version = min(u.Version, 1)
		}
		s.applyUpdate(now, netip.AddrPort{}, u)
	}
	s.receiveRecords(now, records)
}

// The codec of synchronization calls: CBOR compressed with zstd.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSyncBytes))
)

// maxSyncPayload limits the bytes of the records in one response; the next synchronization brings the rest.
const maxSyncPayload = 2 << 20

// maxSyncBytes limits one synchronization message after decompression.
const maxSyncBytes = 8 << 20

// EncodeSync encodes and compresses one synchronization message.
func EncodeSync(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, err
	}
	return compressor.EncodeAll(data, nil), nil
}

// DecodeSync decompresses, decodes and validates one synchronization message. The error carries MessageInvalid.
func DecodeSync(data []byte, v any) error {
	decompressed, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return result.Wrap(result.MessageInvalid, err, "cannot decompress synchronization message")
	}
	if err := decoder.Unmarshal(decompressed, v); err != nil {
		return result.Wrap(result.MessageInvalid, err, "cannot decode synchronization message")
	}
	switch m := v.(type) {
	case *SyncRequest:
		return checkUpdates(m.Updates)
	case *SyncResponse:
		return checkUpdates(m.Updates)
	}
	return nil
}
