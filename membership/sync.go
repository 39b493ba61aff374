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

// digestBuckets is the number of parts in which two views are compared.
const digestBuckets = 64

// Digest sums up the live members of a view, so that two instances find where theirs differ.
type Digest [digestBuckets]uint64

// SyncRequest is the first or second half of a synchronization, and SyncAnswer its answer. The first half compares
// digests and gets the news of the parts that differ; the second exchanges the records that either side lacks.
type SyncRequest struct {
	_       struct{} `cbor:",toarray"`
	From    ID
	Digest  []uint64
	Want    []ID
	Updates []news
	Records []cbor.RawMessage
}

// SyncResponse is the answer to a SyncRequest.
type SyncResponse struct {
	_                struct{} `cbor:",toarray"`
	From             ID
	DifferingBuckets []uint8
	Updates          []news
	Records          []cbor.RawMessage
}

func entryHash(id ID, incarnation, version uint64) uint64 {
	h := xxhash.Sum64String(string(id))
	return mix(mix(h^incarnation) + version)
}

// mix spreads a value over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (m *member) hash() uint64 { return entryHash(m.id, m.incarnation, m.version) }

func (s *State) selfHash() uint64 { return entryHash(s.self.ID, s.incarnation, s.self.Version) }

func bucketOf(id ID) int { return int(xxhash.Sum64String(string(id)) % digestBuckets) }

// updateDigest replaces a member's part of the digest; 0 stands for none.
func (s *State) updateDigest(id ID, before, after uint64) {
	s.digest[bucketOf(id)] ^= before ^ after
	s.viewHash ^= before ^ after
	s.differsAt = time.Time{}
}

// compare notes whether another view equals this one. One that stays as it is and differs from all others for a
// while has missed something, which a synchronization brings.
func (s *State) compare(now time.Time, m *Message) {
	switch {
	case m.Kind != kindPing && m.Kind != kindAck || m.ViewHash == 0:
	case m.ViewHash == s.viewHash:
		s.differsAt = time.Time{}
	case s.differsAt.IsZero():
		s.differsAt = now
	case now.Sub(s.differsAt) >= s.config.ViewMismatchTimeout:
		s.syncNeeded = true
		s.differsAt = now
	}
}

// StartSync returns the first half of a synchronization.
func (s *State) StartSync() *SyncRequest {
	s.newcomer = len(s.alive.ids) <= 1
	return &SyncRequest{From: s.self.ID, Digest: slices.Clone(s.digest[:])}
}

// HandleSync answers either half.
func (s *State) HandleSync(now time.Time, r *SyncRequest) (*SyncResponse, []Action) {
	out := &SyncResponse{From: s.self.ID}
	if len(r.Digest) == digestBuckets {
		for b, v := range s.digest {
			if r.Digest[b] != v {
				out.DifferingBuckets = append(out.DifferingBuckets, uint8(b))
			}
		}
		out.Updates = s.newsOf(out.DifferingBuckets)
		s.forgetKnown(out.DifferingBuckets)
		return out, s.take()
	}
	bytes := 0
	for _, id := range r.Want[:min(len(r.Want), maxSyncRecords)] {
		n, raw, ok := s.lookup(id)
		if bytes += len(raw); ok && bytes <= maxSyncPayload {
			out.Updates = append(out.Updates, n)
			out.Records = append(out.Records, raw)
		}
	}
	s.merge(now, r.Updates, r.Records)
	return out, s.take()
}

// forgetKnown ends the spread of news that a random other instance turned out to know, after a mass change for
// example. Urgent news goes on, and so does news that was not sent yet.
func (s *State) forgetKnown(differ []uint8) {
	for id, i := range s.queue {
		if !i.urgent && i.sends > 0 && !slices.Contains(differ, uint8(bucketOf(id))) {
			delete(s.queue, id)
		}
	}
}

// newsOf lists the live members and this instance in the given parts of the digest.
func (s *State) newsOf(buckets []uint8) []news {
	if len(buckets) == 0 {
		return nil
	}
	var in [digestBuckets]bool
	for _, b := range buckets {
		if b < digestBuckets {
			in[b] = true
		}
	}
	var out []news
	if n, _, ok := s.lookup(s.self.ID); ok && in[bucketOf(s.self.ID)] {
		out = append(out, n)
	}
	for _, id := range s.alive.ids {
		if in[bucketOf(id)] && len(out) < maxSyncNews {
			out = append(out, s.members[id].news(s.hash))
		}
	}
	return out
}

// ContinueSync takes the answer to the first half and returns the second halves, each of bounded size.
func (s *State) ContinueSync(now time.Time, a *SyncResponse) ([]*SyncRequest, []Action) {
	s.forgetKnown(a.DifferingBuckets)
	theirs := make(map[ID]news, len(a.Updates))
	for _, n := range a.Updates {
		theirs[n.ID] = n
	}
	push := s.newerThan(a.DifferingBuckets, theirs)
	want := s.olderThan(a.Updates)
	s.merge(now, withoutVersions(a.Updates), nil)
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
	return out, s.take()
}

// newerThan lists what the other side lacks: newer live members, and the ends of those it takes for live.
func (s *State) newerThan(buckets []uint8, theirs map[ID]news) []news {
	var out []news
	for _, n := range s.newsOf(buckets) {
		t, ok := theirs[n.ID]
		if !ok || n.Incarnation > t.Incarnation || n.Version > t.Version {
			out = append(out, n)
		}
	}
	for id, t := range theirs {
		m, ok := s.members[id]
		if ok && !m.live() && !m.local && (m.status == statusLeft || m.incarnation >= t.Incarnation) {
			out = append(out, m.news(s.hash))
		}
	}
	slices.SortFunc(out, func(a, b news) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// olderThan lists the members whose records the other side has newer.
func (s *State) olderThan(list []news) []ID {
	var out []ID
	for _, n := range list {
		m, ok := s.members[n.ID]
		if n.ID == s.self.ID || (ok && (!m.live() && m.incarnation >= n.Incarnation || m.version >= n.Version)) {
			continue
		}
		out = append(out, n.ID)
	}
	return out
}

// withoutVersions keeps merge from asking by datagram for what the second half brings.
func withoutVersions(list []news) []news {
	out := slices.Clone(list)
	for n := range out {
		out[n].Version = 0
	}
	return out
}

// FinishSync takes the answer to a second half.
func (s *State) FinishSync(now time.Time, a *SyncResponse) []Action {
	s.silent = s.newcomer // what a newcomer learns is news to nobody else
	s.merge(now, a.Updates, a.Records)
	s.silent = false
	return s.take()
}

func (s *State) merge(now time.Time, list []news, records []cbor.RawMessage) {
	for _, n := range list {
		if n.Status == statusAlive || n.Status == statusSuspect {
			n.Version = min(n.Version, 1)
		}
		s.receiveOne(now, netip.AddrPort{}, n)
	}
	s.receiveRecords(now, records)
}

// The codec of the control call: CBOR, compressed.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSyncBytes))
)

// maxSyncPayload bounds the records in one answer; the next synchronization brings the rest.
const maxSyncPayload = 2 << 20

// maxSyncBytes bounds one message of a synchronization after decompression.
const maxSyncBytes = 8 << 20

// EncodeSync writes one message of a synchronization.
func EncodeSync(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, err
	}
	return compressor.EncodeAll(data, nil), nil
}

// DecodeSync reads one message of a synchronization; the error carries MessageInvalid.
func DecodeSync(data []byte, v any) error {
	plain, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return result.Wrap(result.MessageInvalid, err, "synchronization")
	}
	if err := decoder.Unmarshal(plain, v); err != nil {
		return result.Wrap(result.MessageInvalid, err, "synchronization")
	}
	switch m := v.(type) {
	case *SyncRequest:
		return checkNews(m.Updates)
	case *SyncResponse:
		return checkNews(m.Updates)
	}
	return nil
}
