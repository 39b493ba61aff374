package ticket

import (
	"bytes"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"amaranthstile/internal/cow"
	"amaranthstile/result"
)

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   maxNested,
		MaxArrayElements:  maxElements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

func damaged(format string, args ...any) error {
	return result.New(result.SnapshotDamaged, format, args...)
}

// Validate refuses a manifest that no snapshot can have.
func (m Manifest) Validate() error {
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return damaged("manifest names %d chunks, not 1 to %d", len(m.Chunks), MaxChunks)
	}
	return nil
}

// VerifyChunk verifies one chunk, so that a damaged one can be fetched again elsewhere. Its errors carry
// SnapshotDamaged.
func (m Manifest) VerifyChunk(n int, chunk []byte) error {
	r, err := newSnapshotReader()
	if err != nil {
		return err
	}
	defer r.zstd.Close()
	_, err = r.open(m, n, chunk)
	return err
}

// snapshotReader rebuilds a book.
type snapshotReader struct {
	zstd     *zstd.Decoder
	again    bytes.Buffer // an item, encoded again
	last     section
	before   objectName // of the last tombstone or object
	head     headItem
	book     *ConfigState
	services *cow.Editor[string, Object[Service]]
	routes   *cow.Editor[string, Object[Route]]
	accounts *cow.Editor[string, Object[Account]]
	removed  *cow.Editor[objectName, uint64]
	records  *cow.Editor[uint64, Record]
	keys     *cow.Editor[uint64, string]
	prefixes *cow.Editor[hostPrefix, string]
	uses     *cow.Editor[string, int]
}

func newSnapshotReader() (*snapshotReader, error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRawBytes))
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "snapshot's compression")
	}
	b := NewConfigState()
	return &snapshotReader{
		zstd:     z,
		book:     b,
		services: b.services.Edit(),
		routes:   b.routes.Edit(),
		accounts: b.accounts.Edit(),
		removed:  b.removed.Edit(),
		records:  b.records.Edit(),
		keys:     b.keys.Edit(),
		prefixes: b.prefixes.Edit(),
		uses:     b.uses.Edit(),
	}, nil
}

// DecodeConfigState rebuilds a book from a snapshot's manifest and chunks. What it returns is whole and consistent:
// every chunk has its digest and canonical form, each object is valid, no key or prefix stands twice, and every route names a
// service. Its errors carry SnapshotDamaged.
func DecodeConfigState(m Manifest, chunks [][]byte) (*ConfigState, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	if len(chunks) != len(m.Chunks) {
		return nil, damaged("%d chunks came, the manifest names %d", len(chunks), len(m.Chunks))
	}
	r, err := newSnapshotReader()
	if err != nil {
		return nil, err
	}
	defer r.zstd.Close()
	for n, chunk := range chunks {
		raw, err := r.open(m, n, chunk)
		if err != nil {
			return nil, err
		}
		if err := r.items(raw); err != nil {
			return nil, err
		}
	}
	return r.finish(m)
}

// open decompresses and verifies a chunk.
func (r *snapshotReader) open(m Manifest, n int, chunk []byte) ([]byte, error) {
	if n < 0 || n >= len(m.Chunks) || len(chunk) > MaxChunkBytes {
		return nil, damaged("chunk %d has %d bytes", n, len(chunk))
	}
	raw, err := r.zstd.DecodeAll(chunk, nil)
	if err != nil {
		return nil, result.Wrap(result.SnapshotDamaged, err, "chunk %d", n)
	}
	if len(raw) > maxRawBytes || sha256.Sum256(raw) != m.Chunks[n] {
		return nil, damaged("chunk %d does not have its digest", n)
	}
	return raw, nil
}

// items reads one chunk.
func (r *snapshotReader) items(raw []byte) error {
	for len(raw) > 0 {
		if len(raw) < 2 {
			return damaged("an item breaks off")
		}
		s := section(raw[1]) // after the list's header: all lists are short
		if s < r.last || (s == r.last && s <= sectionRoster) || (r.last == 0 && s != sectionHead) {
			return damaged("section %d comes after section %d", s, r.last)
		}
		if s != r.last {
			r.last, r.before = s, objectName{}
		}
		rest, err := r.item(s, raw)
		if err != nil {
			return err
		}
		raw = rest
	}
	return nil
}

// inOrder refuses a name that does not come after the last one of its section.
func (r *snapshotReader) inOrder(n objectName) error {
	if n.compare(r.before) <= 0 {
		return damaged("%s.%s comes after %s.%s", n.kind, n.name, r.before.kind, r.before.name)
	}
	r.before = n
	return nil
}

func (r *snapshotReader) item(s section, raw []byte) ([]byte, error) {
	switch s {
	case sectionHead:
		return read(r, raw, func(i *headItem) error { r.head = *i; return nil })
	case sectionRoster:
		return read(r, raw, r.addRoster)
	case sectionRecord:
		return read(r, raw, r.addRecord)
	case sectionTombstone:
		return read(r, raw, r.addTombstone)
	case sectionService:
		return read(r, raw, func(i *objectItem[Service]) error { return addObject(r, r.services, i, validateService) })
	case sectionRoute:
		return read(r, raw, r.addRoute)
	case sectionAccount:
		return read(r, raw, r.addAccount)
	}
	return nil, damaged("no section %d", s)
}

// read decodes the first item of raw and returns the rest. An item that is not in canonical form is refused.
func read[T any](r *snapshotReader, raw []byte, take func(*T) error) ([]byte, error) {
	i := new(T)
	rest, err := decMode.UnmarshalFirst(raw, i)
	if err != nil {
		return nil, result.Wrap(result.SnapshotDamaged, err, "item of a snapshot")
	}
	r.again.Reset()
	err = encMode.MarshalToBuffer(i, &r.again)
	if err != nil || !bytes.Equal(r.again.Bytes(), raw[:len(raw)-len(rest)]) {
		return nil, damaged("an item is not in canonical form")
	}
	return rest, take(i)
}

func (r *snapshotReader) addRoster(i *rosterItem) error {
	if i.Roster == nil {
		return damaged("the roster is absent")
	}
	r.book.roster = i.Roster
	return nil
}

func (r *snapshotReader) addRecord(i *recordItem) error {
	last := Revision(0)
	if n := len(r.book.order); n > 0 {
		before, _ := r.records.Get(r.book.order[n-1])
		last = before.Revision
	}
	_, twice := r.records.Get(i.Number)
	if twice || i.Number == 0 || i.Revision <= last || i.Revision > r.head.Revision || len(r.book.order) == maxRecords {
		return damaged("record of ticket %d", i.Number)
	}
	r.records.Set(i.Number, Record{Number: i.Number, Revision: i.Revision, Digest: i.Digest})
	r.book.order = append(r.book.order, i.Number)
	return nil
}

func (r *snapshotReader) addTombstone(i *tombstoneItem) error {
	known := i.Kind == kindService || i.Kind == kindRoute || i.Kind == kindAccount
	name := i.name()
	if err := r.inOrder(name); err != nil {
		return err
	}
	if !known || i.Number <= r.head.Lowest || r.removed.Len() == maxTombstones {
		return damaged("tombstone of %s.%s", i.Kind, i.Name)
	}
	if err := validateName(string(i.Kind), i.Name); err != nil {
		return result.Wrap(result.SnapshotDamaged, err, "tombstone of a snapshot")
	}
	r.removed.Set(name, i.Number)
	return nil
}

// kindOf is the kind of the objects in a section.
var kindOf = map[section]kind{sectionService: kindService, sectionRoute: kindRoute, sectionAccount: kindAccount}

func addObject[T any](r *snapshotReader, to *cow.Editor[string, Object[T]], i *objectItem[T], validate func(string, *T) error) error {
	name := objectName{kindOf[i.Section], i.Name}
	if err := r.inOrder(name); err != nil {
		return err
	}
	if _, gone := r.removed.Get(name); gone || i.Value == nil || i.Number == 0 {
		return damaged("%s.%s has no value or is removed", name.kind, name.name)
	}
	if err := validate(i.Name, i.Value); err != nil {
		return result.Wrap(result.SnapshotDamaged, err, "object of a snapshot")
	}
	to.Set(i.Name, Object[T]{Number: i.Number, Value: i.Value})
	return nil
}

func (r *snapshotReader) addRoute(i *objectItem[Route]) error {
	if err := addObject(r, r.routes, i, validateRoute); err != nil {
		return err
	}
	at := hostPrefix{i.Value.Host, i.Value.Prefix}
	if other, twice := r.prefixes.Get(at); twice {
		return damaged("routes.%s and routes.%s have the same host and prefix", i.Name, other)
	}
	for _, service := range i.Value.services() {
		if _, ok := r.services.Get(service); !ok {
			return damaged("routes.%s names no service", i.Name)
		}
	}
	r.prefixes.Set(at, i.Name)
	countAll(r.uses, i.Value, 1)
	return nil
}

func (r *snapshotReader) addAccount(i *objectItem[Account]) error {
	if err := addObject(r, r.accounts, i, validateAccount); err != nil {
		return err
	}
	for _, k := range i.Value.Keys {
		if _, twice := r.keys.Get(k.Prefix64()); twice {
			return damaged("a key of accounts.%s stands twice", i.Name)
		}
		r.keys.Set(k.Prefix64(), i.Name)
	}
	return nil
}

func (r *snapshotReader) finish(m Manifest) (*ConfigState, error) {
	if r.last == 0 || r.head.Revision != m.Revision {
		return nil, damaged("the state is at revision %d, the manifest at %d", r.head.Revision, m.Revision)
	}
	b := r.book
	b.revision, b.lowest = r.head.Revision, r.head.Lowest
	b.services, b.routes, b.accounts = r.services.Map(), r.routes.Map(), r.accounts.Map()
	b.removed, b.records = r.removed.Map(), r.records.Map()
	b.keys, b.prefixes, b.uses = r.keys.Map(), r.prefixes.Map(), r.uses.Map()
	return b, nil
}
