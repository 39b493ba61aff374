package ticket

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// SnapshotHeadName is the object that names the newest snapshot.
	SnapshotHeadName = snapshotPrefix + "head"

	snapshotPrefix  = "ticket/snapshot/"
	compactionEvery = 512 // revisions
	// maxDeletes bounds what one compaction deletes; what is left goes with the next. It is above what comes
	// in between two.
	maxDeletes  = 3 * compactionEvery
	digestBytes = 8 // of a chunk's digest, in its name
)

// CompactionDue tells whoever brought about revision r to compact. If that fails, the next due one makes up for it.
func CompactionDue(r Revision) bool { return r > 0 && r%compactionEvery == 0 }

// snapshotHead is the value of the object SnapshotHeadName.
type snapshotHead struct {
	// Last is the newest snapshot.
	Last Manifest `json:"last"`
	// Previous is the revision of the one before, whose chunks and later entries stay for slow readers.
	Previous Revision `json:"previous"`
}

// chunkName names a chunk by its content, so that a chunk that exists is the same.
func chunkName(m Manifest, n int) string {
	return fmt.Sprintf("%s%016d/%04d-%s", snapshotPrefix, m.Revision, n, hex.EncodeToString(m.Chunks[n][:digestBytes]))
}

func (l *Log) snapshotHead(ctx context.Context) (snapshotHead, store.Version, error) {
	o, err := l.client.Get(ctx, SnapshotHeadName)
	if result.Is(err, result.PlatformNotFound) {
		return snapshotHead{}, 0, nil
	}
	if err != nil {
		return snapshotHead{}, 0, err
	}
	var h snapshotHead
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return snapshotHead{}, 0, result.Wrap(result.SnapshotDamaged, err, "%s", SnapshotHeadName)
	}
	return h, o.Version, h.Last.Validate()
}

// Compact records a snapshot of b and deletes what is older than the one before it. Any instance may do so, also
// at the same time or with an older state: the head moves by a conditional write, always to a newer revision, and
// what a compaction leaves behind that breaks off is deleted by a later one. Owners call it on a Clone.
func (l *Log) Compact(ctx context.Context, b *ConfigState) error {
	h, version, err := l.snapshotHead(ctx)
	if err != nil {
		return err
	}
	if b.Revision() <= h.Last.Revision {
		return nil
	}
	s, err := b.Encode()
	if err != nil {
		return err
	}
	for n, chunk := range s.Chunks {
		if err := l.create(ctx, chunkName(s.Manifest, n), chunk); err != nil {
			return err
		}
	}
	value, err := json.Marshal(snapshotHead{Last: s.Manifest, Previous: h.Last.Revision})
	if err != nil {
		return result.Wrap(result.Internal, err, "snapshot's head")
	}
	if _, err := l.client.Put(ctx, SnapshotHeadName, version, value); err != nil {
		if result.Is(err, result.PlatformConflict) {
			return nil // another instance compacted meanwhile
		}
		return err
	}
	return l.clean(ctx, s.Manifest.Revision, h.Last.Revision)
}

// clean deletes the entries up to the previous snapshot, and all chunks of snapshots below the last one but for the
// previous one's. It is called by whoever moved the snapshot's head from previous to last.
func (l *Log) clean(ctx context.Context, last, previous Revision) error {
	entries, err := l.client.List(ctx, logPrefix)
	if err != nil {
		return err
	}
	chunks, err := l.client.List(ctx, snapshotPrefix)
	if err != nil {
		return err
	}
	deletes := 0
	for _, o := range append(entries, chunks...) {
		if !old(o.Name, last, previous) || deletes == maxDeletes {
			continue
		}
		deletes++
		err := l.client.Delete(ctx, o.Name, o.Version)
		switch result.CodeOf(err) {
		case result.OK, result.PlatformNotFound, result.PlatformConflict, result.PlatformOutcomeUnknown:
		default:
			return err
		}
	}
	return nil
}

// old reports whether an entry or a chunk is needed no more.
func old(name string, last, previous Revision) bool {
	if r, ok := strings.CutPrefix(name, logPrefix); ok {
		n, err := strconv.ParseUint(r, 10, 64)
		return err == nil && Revision(n) <= previous
	}
	r, _, ok := strings.Cut(strings.TrimPrefix(name, snapshotPrefix), "/")
	n, err := strconv.ParseUint(r, 10, 64)
	return ok && err == nil && Revision(n) < last && Revision(n) != previous
}

// restore takes the newest snapshot over into the state if it is newer.
func (l *Log) restore(ctx context.Context, b Replica) error {
	h, version, err := l.snapshotHead(ctx)
	if err != nil || version == 0 || h.Last.Revision <= b.Revision() {
		return err
	}
	chunks := make([][]byte, len(h.Last.Chunks))
	for n := range chunks {
		o, err := l.client.Get(ctx, chunkName(h.Last, n))
		if result.Is(err, result.PlatformNotFound) {
			return result.Wrap(result.SnapshotMissing, err, "snapshot of revision %d", h.Last.Revision)
		}
		if err != nil {
			return err
		}
		chunks[n] = o.Value
	}
	loaded, err := DecodeConfigState(h.Last, chunks)
	if err != nil {
		return err
	}
	b.Restore(loaded)
	return nil
}
