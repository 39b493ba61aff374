package ticket

import (
	"context"
	"encoding/json"
	"fmt"

	"amaranthstile/result"
	"amaranthstile/store"
)

// HeadName is the object that holds the last accepted ticket.
const HeadName = "ticket/head"

// logPrefix precedes the revision in the names of the objects that hold earlier tickets.
const logPrefix = "ticket/log/"

const (
	// maxRaces bounds how often one submission starts over because other tickets were accepted meanwhile.
	maxRaces = 64
	// maxStale bounds how often one submission reads a head that is older than what is in force already.
	maxStale = 4
	// maxTries bounds how often a write without an answer is repeated.
	maxTries = 3
	// snapshotGap is the number of missing entries from which a snapshot is read instead.
	snapshotGap = 64
)

// Entry is one accepted change with its revision, as the platform holds it: an operators' ticket, or a
// roster that the instances agreed on. Exactly one of the two is present.
type Entry struct {
	Revision Revision `json:"revision"`
	Ticket   *Ticket  `json:"ticket,omitempty"`
	Roster   *Roster  `json:"roster,omitempty"`
}

// empty reports whether the entry stands for no change at all.
func (e Entry) empty() bool { return e.Ticket == nil && e.Roster == nil }

// Announcer is told of each change before the write that accepts it.
type Announcer interface {
	// Announce returns once enough others hold e as pending; without that the change is not written.
	Announce(ctx context.Context, e Entry) error
	// Resolved tells that e was accepted, or that it certainly was not and never will be.
	Resolved(e Entry, accepted bool)
}

// Log records and reads tickets in the platform. It keeps no state; all methods may be called at the same time.
type Log struct {
	client   store.Client
	announce Announcer // nil for none
}

// NewLog returns the log in the platform behind client; a nil announcer announces nothing.
func NewLog(client store.Client, a Announcer) *Log {
	return &Log{client: client, announce: a}
}

func logName(r Revision) string { return fmt.Sprintf("%s%016d", logPrefix, r) }

// Head is the newest entry with the platform's version of the head object; the zero value stands for
// a log without any ticket.
type Head struct {
	Entry
	Version store.Version
}

// Head reads the newest entry.
func (l *Log) Head(ctx context.Context) (Head, error) {
	o, err := l.client.Get(ctx, HeadName)
	return decodeHead(o, err)
}

// WatchHead waits until the head is newer than after, or until the platform ends the wait.
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
		return Entry{}, result.New(result.PlatformProtocol, "entry of the ticket log lacks its change or revision")
	}
	return e, nil
}

// Entry reads the accepted ticket of one revision below the head's.
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

// CatchUp brings the state up to the head: from the newest snapshot where that is shorter or earlier entries are
// deleted, and by single entries from there. A head that is older than the state changes nothing. SnapshotMissing
// says that the platform shows less than it must hold, as a stale read does.
func (l *Log) CatchUp(ctx context.Context, b Replica, h Head) error {
	if h.Revision > b.Revision()+snapshotGap {
		if err := l.restore(ctx, b); err != nil {
			return err
		}
	}
	for b.Revision()+1 < h.Revision {
		if err := l.step(ctx, b); err != nil {
			return err
		}
	}
	if h.empty() {
		return nil
	}
	return apply(b, h.Entry)
}

// step applies the entry after the state's revision, or a snapshot if that entry is deleted.
func (l *Log) step(ctx context.Context, b Replica) error {
	at := b.Revision()
	e, err := l.Entry(ctx, at+1)
	if err == nil {
		return apply(b, e)
	}
	if !result.Is(err, result.PlatformNotFound) {
		return err
	}
	if err := l.restore(ctx, b); err != nil {
		return err
	}
	if b.Revision() <= at {
		return result.New(result.SnapshotMissing, "neither entry %d nor a snapshot after it is there", at+1)
	}
	return nil
}

func apply(b Replica, e Entry) error {
	if !b.Apply(e) {
		return result.New(result.SnapshotMissing, "an entry before revision %d is missing", e.Revision)
	}
	return nil
}

// Append makes e the next change after head h: it keeps a copy of what the head holds and then moves the head
// with one conditional write, the moment of acceptance. PlatformConflict says that another change came first;
// PlatformOutcomeUnknown that e may have been accepted. An entry that was announced and is not accepted here is
// the caller's to settle.
func (l *Log) Append(ctx context.Context, h Head, e Entry) (Head, error) {
	if err := l.keep(ctx, h); err != nil {
		return Head{}, err
	}
	e.Revision = h.Revision + 1
	if l.announce != nil {
		if err := l.announce.Announce(ctx, e); err != nil {
			return Head{}, err
		}
	}
	v, err := l.client.Put(ctx, HeadName, h.Version, encodeEntry(e))
	if err != nil {
		return Head{}, err
	}
	if l.announce != nil {
		l.announce.Resolved(e, true)
	}
	return Head{Entry: e, Version: v}, nil
}

// keep copies the head's entry to the log; a copy that stands there already is the same.
func (l *Log) keep(ctx context.Context, h Head) error {
	if h.empty() {
		return nil
	}
	return l.create(ctx, logName(h.Revision), encodeEntry(h.Entry))
}

// create writes an object whose name stands for its content, so that one that exists is the same. After a write
// without an answer it writes again.
func (l *Log) create(ctx context.Context, name string, value []byte) error {
	var err error
	for range maxTries {
		_, err = l.client.Put(ctx, name, 0, value)
		switch result.CodeOf(err) {
		case result.OK, result.PlatformConflict:
			return nil
		case result.PlatformOutcomeUnknown:
		default:
			return err
		}
	}
	return result.Wrap(result.PlatformUnavailable, err, "%d writes of %s", maxTries, name)
}

func encodeEntry(e Entry) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // the types hold nothing that JSON can't express
	}
	return data
}

// Replica is a Book, or what stands for one that is owned elsewhere.
type Replica interface {
	Revision() Revision
	Check(t *Ticket) (Record, error)
	Apply(e Entry) bool
	Accepted(number uint64) (Record, bool)
	// Restore takes over the state of o, which it may keep, if that is newer.
	Restore(o *ConfigState) bool
}
