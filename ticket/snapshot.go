package ticket

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"amaranthstile/internal/cow"
	"amaranthstile/result"
)

const (
	// MaxChunkBytes is the largest chunk of a snapshot, compressed.
	MaxChunkBytes = 512 << 10
	// MaxChunks is the largest number of chunks of a snapshot.
	MaxChunks = 512

	rawChunkBytes = 480 << 10 // a chunk's items before compression, unless it holds one alone
	maxRawBytes   = 1 << 20   // of one chunk, when it is read
	windowBytes   = 512 << 10 // of the compression
	maxNested     = 8         // levels of an item
	maxElements   = 65536     // of a list in an item
)

// Manifest describes a snapshot. Two books in the same state have equal manifests.
type Manifest struct {
	// Revision is that of the book.
	Revision Revision `json:"revision"`
	// Chunks are the SHA-256 of the chunks before compression, in their order.
	Chunks []Hash `json:"chunks"`
}

// Equal reports whether two manifests describe the same state.
func (m Manifest) Equal(o Manifest) bool {
	return m.Revision == o.Revision && slices.Equal(m.Chunks, o.Chunks)
}

// Snapshot is the whole state of a Book in canonical form, for the platform and for transfer between instances:
// objects, tombstones, records of accepted tickets, and the roster. A book of 54,000 routes and 120,000 accounts
// fills some dozens of chunks. Each chunk can be fetched and verified by itself, from any peer or the platform:
//
//	s, err := book.Clone().Encode()       // at the giver, outside the owner
//	err = manifest.CheckChunk(n, chunk)   // at the taker, for each chunk as it comes
//	book, err := DecodeBook(manifest, chunks)
//
// The manifest itself must come from a source that is trusted with the configuration.
type Snapshot struct {
	Manifest Manifest
	// Chunks are compressed, at most MaxChunkBytes each.
	Chunks [][]byte
}

// section is the kind of an item; a snapshot holds them in this order.
type section uint8

const (
	sectionHead section = iota + 1
	sectionRoster
	sectionRecord
	sectionTombstone
	sectionService
	sectionRoute
	sectionAccount
)

// The items of a snapshot. Each is a CBOR list whose first element is its section.
type (
	headItem struct {
		_        struct{} `cbor:",toarray"`
		Section  section
		Revision Revision
		Lowest   uint64
	}
	rosterItem struct {
		_       struct{} `cbor:",toarray"`
		Section section
		Roster  *Roster
	}
	recordItem struct {
		_        struct{} `cbor:",toarray"`
		Section  section
		Number   uint64
		Revision Revision
		Digest   Hash
	}
	tombstoneItem struct {
		_       struct{} `cbor:",toarray"`
		Section section
		Kind    kind
		Name    string
		Number  uint64
	}
	objectItem[T any] struct {
		_       struct{} `cbor:",toarray"`
		Section section
		Name    string
		Number  uint64
		Value   *T
	}
)

var encMode = func() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// snapshotWriter gathers items in chunks.
type snapshotWriter struct {
	raw  []byte
	item bytes.Buffer
	zstd *zstd.Encoder
	out  Snapshot
	err  error
}

// Encode writes the whole state. It only reads the book; owners call it on a Clone.
func (b *ConfigState) Encode() (*Snapshot, error) {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes))
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "snapshot's compression")
	}
	defer func() { _ = z.Close() }()
	w := &snapshotWriter{zstd: z, out: Snapshot{Manifest: Manifest{Revision: b.revision}}}
	w.add(headItem{Section: sectionHead, Revision: b.revision, Lowest: b.lowest})
	if b.roster != nil {
		w.add(rosterItem{Section: sectionRoster, Roster: b.roster})
	}
	for _, n := range b.order {
		r, _ := b.records.Get(n)
		w.add(recordItem{Section: sectionRecord, Number: r.Number, Revision: r.Revision, Digest: r.Digest})
	}
	w.addTombstones(b.removed)
	addObjects(w, sectionService, b.services)
	addObjects(w, sectionRoute, b.routes)
	addObjects(w, sectionAccount, b.accounts)
	w.cut()
	return &w.out, w.err
}

func (w *snapshotWriter) addTombstones(removed cow.Map[objectName, uint64]) {
	items := make([]tombstoneItem, 0, removed.Len())
	for n, number := range removed.All() {
		items = append(items, tombstoneItem{Section: sectionTombstone, Kind: n.kind, Name: n.name, Number: number})
	}
	slices.SortFunc(items, func(a, b tombstoneItem) int { return a.name().compare(b.name()) })
	for i := range items {
		w.add(&items[i])
	}
}

func (i tombstoneItem) name() objectName { return objectName{i.Kind, i.Name} }

func (n objectName) compare(o objectName) int {
	return cmp.Or(cmp.Compare(n.kind, o.kind), cmp.Compare(n.name, o.name))
}

func addObjects[T any](w *snapshotWriter, s section, m cow.Map[string, Object[T]]) {
	items := make([]objectItem[T], 0, m.Len())
	for name, o := range m.All() {
		items = append(items, objectItem[T]{Section: s, Name: name, Number: o.Number, Value: o.Value})
	}
	slices.SortFunc(items, func(a, b objectItem[T]) int { return strings.Compare(a.Name, b.Name) })
	for i := range items {
		w.add(&items[i])
	}
}

func (w *snapshotWriter) add(item any) {
	if w.err != nil {
		return
	}
	w.item.Reset()
	if err := encMode.MarshalToBuffer(item, &w.item); err != nil {
		w.err = result.Wrap(result.Internal, err, "snapshot's item")
		return
	}
	data := w.item.Bytes()
	if len(w.raw)+len(data) > rawChunkBytes && len(w.raw) > 0 {
		w.cut()
	}
	w.raw = append(w.raw, data...)
}

// cut ends the chunk.
func (w *snapshotWriter) cut() {
	chunk := w.zstd.EncodeAll(w.raw, nil)
	if len(chunk) > MaxChunkBytes || len(w.out.Chunks) == MaxChunks {
		w.err = result.New(result.TicketTooLarge, "snapshot: the state is too large")
		return
	}
	w.out.Chunks = append(w.out.Chunks, chunk)
	w.out.Manifest.Chunks = append(w.out.Manifest.Chunks, sha256.Sum256(w.raw))
	w.raw = w.raw[:0]
}
