package ticket

import (
	"context"
	"encoding/json"
	"fmt"

	"amaranthstile/result"
	"amaranthstile/store"
)

// HeadName is the name of the object that holds the last accepted change.
const HeadName = "ticket/head"

// logPrefix precedes the revision in the names of the objects that hold earlier changes.
const logPrefix = "ticket/log/"

const (
	// maxConflicts bounds how often one submission starts over because other changes were accepted meanwhile.
	maxConflicts = 64
	// maxStaleHeads bounds how often one submission reads a head that is older than the configuration in force.
	maxStaleHeads = 4
	// maxWriteAttempts bounds the attempts of a write whose response is lost.
	maxWriteAttempts = 3
	// snapshotGap is the largest number of missing entries that are read one by one; beyond it a snapshot is read.
	snapshotGap = 64
)

// Entry is one accepted change with its revision, as the platform stores it: an operators' ticket, or a roster that the
// instances agreed on. Exactly one of the two is present.
type Entry struct {
	Revision Revision `json:"revision"`
	Ticket   *Ticket  `json:"ticket,omitempty"`
	Roster   *Roster  `json:"roster,omitempty"`
}

// empty reports whether the entry holds no change.
func (e Entry) empty() bool { return e.Ticket == nil && e.Roster == nil }

// Announcer announces each change to other instances before the write that accepts it.
type Announcer interface {
	// Announce returns nil once enough other instances hold e as pending. If it fails, the change is not written.
	Announce(ctx context.Context, e Entry) error
	// Resolved is called with true once e was accepted, and with false once it is certain that e was not accepted and
	// never will be.
	Resolved(e Entry, accepted bool)
}

// Log writes and reads changes in the platform's object store. It keeps no state, and all its methods are safe for
// concurrent use.
type Log struct {
	client    store.Client
	announcer Announcer // nil if changes are not announced
}

// NewLog returns the log in the platform that client reaches. With a nil announcer, changes are not announced.
func NewLog(client store.Client, a Announcer) *Log {
	return &Log{client: client, announcer: a}
}

func logName(r Revision) string { return fmt.Sprintf("%s%016d", logPrefix, r) }

// Head is the newest entry with the platform's version of the head object; the zero value means that the log is empty.
type Head struct {
	Entry
	Version store.Version
}

// Head reads the newest entry.
func (l *Log) Head(ctx context.Context) (Head, error) {
	o, err := l.client.Get(ctx, HeadName)
	return decodeHead(o, err)
}

// WatchHead waits until the head is newer than version after, or until the platform ends the wait.
func (l *Log) WatchHead(ctx context.Context, after store.Version) (Head, error) {
	o, err := l.client.Watch(ctx, HeadName, after)
	return decodeHead(o, err)
}

func decodeHead(o store.Object, err error) (Head, error) {
	if result.Is(err, result.PlatformNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	e, err := decodeEntry(o.Value)
	return Head{Entry: e, Version: o.Version}, err
}

func decodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, result.Wrap(result.PlatformProtocol, err, "entry of the ticket log")
	}
	if e.empty() || e.Revision == 0 {
		return Entry{}, result.New(result.PlatformProtocol, "entry of the ticket log has no change or no revision")
	}
	return e, nil
}

// Entry reads the entry of a revision below the head's.
func (l *Log) Entry(ctx context.Context, r Revision) (Entry, error) {
	o, err := l.client.Get(ctx, logName(r))
	if err != nil {
		return Entry{}, err
	}
	e, err := decodeEntry(o.Value)
	if err == nil && e.Revision != r {
		return Entry{}, result.New(result.PlatformProtocol, "%s holds revision %d", o.Name, e.Revision)
	}
	return e, err
}

// CatchUp brings the replica up to the head. It reads the newest snapshot if many entries are missing or if earlier
// entries are deleted, and single entries from there. A head that is older than the replica changes nothing. The error
// SnapshotMissing means that the platform returned less than it must hold, as a stale read does.
func (l *Log) CatchUp(ctx context.Context, replica Replica, h Head) error {
	if h.Revision > replica.Revision()+snapshotGap {
		if err := l.restoreSnapshot(ctx, replica); err != nil {
			return err
		}
	}
	for replica.Revision()+1 < h.Revision {
		if err := l.applyNext(ctx, replica); err != nil {
			return err
		}
	}
	if h.empty() {
		return nil
	}
	return apply(replica, h.Entry)
}

// applyNext applies the entry after the replica's revision, or a snapshot if that entry is deleted.
func (l *Log) applyNext(ctx context.Context, replica Replica) error {
	revision := replica.Revision()
	e, err := l.Entry(ctx, revision+1)
	if err == nil {
		return apply(replica, e)
	}
	if !result.Is(err, result.PlatformNotFound) {
		return err
	}
	if err := l.restoreSnapshot(ctx, replica); err != nil {
		return err
	}
	if replica.Revision() <= revision {
		return result.New(result.SnapshotMissing, "found neither entry %d nor a snapshot that includes it", revision+1)
	}
	return nil
}

func apply(replica Replica, e Entry) error {
	if !replica.Apply(e) {
		return result.New(result.SnapshotMissing, "an entry before revision %d is missing", e.Revision)
	}
	return nil
}

// Append makes e the next change after head h. It copies the entry in the head to the log and then replaces the head
// with one conditional write; e is accepted when this write takes effect. The error PlatformConflict means that another
// change was accepted first, and PlatformOutcomeUnknown that e may have been accepted. When an announced entry is not
// accepted here, the caller has to call Resolved.
func (l *Log) Append(ctx context.Context, h Head, e Entry) (Head, error) {
	if err := l.archive(ctx, h); err != nil {
		return Head{}, err
	}
	e.Revision = h.Revision + 1
	if l.announcer != nil {
		if err := l.announcer.Announce(ctx, e); err != nil {
			return Head{}, err
		}
	}
	v, err := l.client.Put(ctx, HeadName, h.Version, encodeEntry(e))
	if err != nil {
		return Head{}, err
	}
	if l.announcer != nil {
		l.announcer.Resolved(e, true)
	}
	return Head{Entry: e, Version: v}, nil
}

// archive copies the head's entry to the log. A copy that exists already has the same content.
func (l *Log) archive(ctx context.Context, h Head) error {
	if h.empty() {
		return nil
	}
	return l.create(ctx, logName(h.Revision), encodeEntry(h.Entry))
}

// create writes an object whose name determines its content, so that an existing object of this name has the same
// content. It repeats a write whose response is lost.
func (l *Log) create(ctx context.Context, name string, value []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = l.client.Put(ctx, name, 0, value)
		switch result.CodeOf(err) {
		case result.OK, result.PlatformConflict:
			return nil
		case result.PlatformOutcomeUnknown:
		default:
			return err
		}
	}
	return result.Wrap(result.PlatformUnavailable, err, "%d attempts to write %s", maxWriteAttempts, name)
}

func encodeEntry(e Entry) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // all fields can be expressed in JSON
	}
	return data
}

// Replica is a copy of the configuration that a Log brings up to date: a ConfigState, or an adapter to one that another
// goroutine owns.
type Replica interface {
	Revision() Revision
	Check(t *Ticket) (Record, error)
	Apply(e Entry) bool
	Accepted(number uint64) (Record, bool)
	// Restore replaces the replica's state by that of newer, and reports whether newer is in fact newer. The replica
	// may keep newer.
	Restore(newer *ConfigState) bool
}
