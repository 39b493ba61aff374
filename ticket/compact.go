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
	// SnapshotHeadName is the name of the object that identifies the newest snapshot.
	SnapshotHeadName = snapshotPrefix + "head"

	snapshotPrefix     = "ticket/snapshot/"
	compactionInterval = 512 // revisions
	// maxDeletes bounds the objects that one compaction deletes; the next one deletes the rest. The bound is above the
	// number of objects that are added between two compactions.
	maxDeletes  = 3 * compactionInterval
	digestBytes = 8 // of a chunk's digest that are part of its name
)

// CompactionDue reports whether the instance that wrote revision r should compact the log. If that compaction fails,
// the next one that is due also does its work.
func CompactionDue(r Revision) bool { return r > 0 && r%compactionInterval == 0 }

// snapshotHead is the value of the object SnapshotHeadName.
type snapshotHead struct {
	// Last describes the newest snapshot.
	Last Manifest `json:"last"`
	// Previous is the revision of the snapshot before it. Its chunks and the entries after it are kept for slow
	// readers.
	Previous Revision `json:"previous"`
}

// chunkName returns the name of a chunk's object. The name contains the digest of the content, so that an existing
// object of this name has the same content.
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

// Compact stores a snapshot of c and deletes what is older than the previous snapshot. Any instance may call it, also
// concurrently or with an older state: a conditional write replaces the snapshot head, always with a newer revision,
// and a later compaction deletes what an interrupted one leaves behind. The owner of a ConfigState passes a Clone.
func (l *Log) Compact(ctx context.Context, c *ConfigState) error {
	h, version, err := l.snapshotHead(ctx)
	if err != nil {
		return err
	}
	if c.Revision() <= h.Last.Revision {
		return nil
	}
	s, err := c.Encode()
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
		return result.Wrap(result.Internal, err, "snapshot head")
	}
	if _, err := l.client.Put(ctx, SnapshotHeadName, version, value); err != nil {
		if result.Is(err, result.PlatformConflict) {
			return nil // another instance compacted meanwhile
		}
		return err
	}
	return l.deleteObsolete(ctx, s.Manifest.Revision, h.Last.Revision)
}

// deleteObsolete deletes the entries up to the previous snapshot, and the chunks of all snapshots older than the last
// one except the previous one. It is called by the instance that replaced the snapshot head for previous with that for
// last.
func (l *Log) deleteObsolete(ctx context.Context, last, previous Revision) error {
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
		if !isObsolete(o.Name, last, previous) || deletes == maxDeletes {
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

// isObsolete reports whether an entry or a chunk is no longer needed.
func isObsolete(name string, last, previous Revision) bool {
	if r, ok := strings.CutPrefix(name, logPrefix); ok {
		n, err := strconv.ParseUint(r, 10, 64)
		return err == nil && Revision(n) <= previous
	}
	r, _, ok := strings.Cut(strings.TrimPrefix(name, snapshotPrefix), "/")
	n, err := strconv.ParseUint(r, 10, 64)
	return ok && err == nil && Revision(n) < last && Revision(n) != previous
}

// restoreSnapshot reads the newest snapshot into the replica if the snapshot is newer than the replica.
func (l *Log) restoreSnapshot(ctx context.Context, replica Replica) error {
	h, version, err := l.snapshotHead(ctx)
	if err != nil || version == 0 || h.Last.Revision <= replica.Revision() {
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
	replica.Restore(loaded)
	return nil
}
