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

// Validate returns an error if the manifest can't belong to any snapshot.
func (m Manifest) Validate() error {
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return damaged("manifest lists %d chunks, must be 1 to %d", len(m.Chunks), MaxChunks)
	}
	return nil
}

// VerifyChunk verifies one chunk, so that a damaged one can be fetched again from another source. Its errors carry
// SnapshotDamaged.
func (m Manifest) VerifyChunk(n int, chunk []byte) error {
	r, err := newSnapshotReader()
	if err != nil {
		return err
	}
	defer r.zstd.Close()
	_, err = r.openChunk(m, n, chunk)
	return err
}

// snapshotReader rebuilds a ConfigState from a snapshot.
type snapshotReader struct {
	zstd        *zstd.Decoder
	reencoded   bytes.Buffer // the current item, encoded again
	lastSection section
	lastName    objectName // of the last tombstone or object in this section
	head        headItem
	state       *ConfigState
	services    *cow.Editor[string, Object[Service]]
	routes      *cow.Editor[string, Object[Route]]
	accounts    *cow.Editor[string, Object[Account]]
	tombstones  *cow.Editor[objectName, uint64]
	records     *cow.Editor[uint64, Record]
	keys        *cow.Editor[uint64, string]
	prefixes    *cow.Editor[hostPrefix, string]
	routeCounts *cow.Editor[string, int]
}

func newSnapshotReader() (*snapshotReader, error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRawBytes))
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "snapshot compression")
	}
	c := NewConfigState()
	return &snapshotReader{
		zstd:        z,
		state:       c,
		services:    c.services.Edit(),
		routes:      c.routes.Edit(),
		accounts:    c.accounts.Edit(),
		tombstones:  c.tombstones.Edit(),
		records:     c.records.Edit(),
		keys:        c.keys.Edit(),
		prefixes:    c.prefixes.Edit(),
		routeCounts: c.routeCounts.Edit(),
	}, nil
}

// DecodeConfigState rebuilds a ConfigState from a snapshot's manifest and chunks. The state that it returns is complete
// and consistent: every chunk matches its digest and is in canonical form, every object is valid, no key or prefix
// occurs twice, and every route names an existing service. Its errors carry SnapshotDamaged.
func DecodeConfigState(m Manifest, chunks [][]byte) (*ConfigState, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	if len(chunks) != len(m.Chunks) {
		return nil, damaged("received %d chunks, the manifest lists %d", len(chunks), len(m.Chunks))
	}
	r, err := newSnapshotReader()
	if err != nil {
		return nil, err
	}
	defer r.zstd.Close()
	for n, chunk := range chunks {
		raw, err := r.openChunk(m, n, chunk)
		if err != nil {
			return nil, err
		}
		if err := r.readItems(raw); err != nil {
			return nil, err
		}
	}
	return r.finish(m)
}

// openChunk decompresses and verifies a chunk.
func (r *snapshotReader) openChunk(m Manifest, n int, chunk []byte) ([]byte, error) {
	if n < 0 || n >= len(m.Chunks) || len(chunk) > MaxChunkBytes {
		return nil, damaged("chunk %d has %d bytes", n, len(chunk))
	}
	raw, err := r.zstd.DecodeAll(chunk, nil)
	if err != nil {
		return nil, result.Wrap(result.SnapshotDamaged, err, "chunk %d", n)
	}
	if len(raw) > maxRawBytes || sha256.Sum256(raw) != m.Chunks[n] {
		return nil, damaged("chunk %d does not match its digest", n)
	}
	return raw, nil
}

// readItems reads the items of one chunk.
func (r *snapshotReader) readItems(raw []byte) error {
	for len(raw) > 0 {
		if len(raw) < 2 {
			return damaged("the last item is incomplete")
		}
		s := section(raw[1]) // the second byte: the header of a list this short has one byte
		if s < r.lastSection || (s == r.lastSection && s <= sectionRoster) || (r.lastSection == 0 && s != sectionHead) {
			return damaged("section %d comes after section %d", s, r.lastSection)
		}
		if s != r.lastSection {
			r.lastSection, r.lastName = s, objectName{}
		}
		rest, err := r.readItem(s, raw)
		if err != nil {
			return err
		}
		raw = rest
	}
	return nil
}

// checkNameOrder refuses a name that does not sort after the previous one of its section.
func (r *snapshotReader) checkNameOrder(n objectName) error {
	if n.compare(r.lastName) <= 0 {
		return damaged("%s.%s comes after %s.%s", n.kind, n.name, r.lastName.kind, r.lastName.name)
	}
	r.lastName = n
	return nil
}

func (r *snapshotReader) readItem(s section, raw []byte) ([]byte, error) {
	switch s {
	case sectionHead:
		return decodeItem(r, raw, func(i *headItem) error { r.head = *i; return nil })
	case sectionRoster:
		return decodeItem(r, raw, r.addRoster)
	case sectionRecord:
		return decodeItem(r, raw, r.addRecord)
	case sectionTombstone:
		return decodeItem(r, raw, r.addTombstone)
	case sectionService:
		return decodeItem(r, raw, func(i *objectItem[Service]) error { return addObject(r, r.services, i, validateService) })
	case sectionRoute:
		return decodeItem(r, raw, r.addRoute)
	case sectionAccount:
		return decodeItem(r, raw, r.addAccount)
	}
	return nil, damaged("unknown section %d", s)
}

// decodeItem decodes the first item of raw, passes it to add, and returns the rest. It refuses an item that is not in
// canonical form.
func decodeItem[T any](r *snapshotReader, raw []byte, add func(*T) error) ([]byte, error) {
	i := new(T)
	rest, err := decMode.UnmarshalFirst(raw, i)
	if err != nil {
		return nil, result.Wrap(result.SnapshotDamaged, err, "snapshot item")
	}
	r.reencoded.Reset()
	err = encMode.MarshalToBuffer(i, &r.reencoded)
	if err != nil || !bytes.Equal(r.reencoded.Bytes(), raw[:len(raw)-len(rest)]) {
		return nil, damaged("an item is not in canonical form")
	}
	return rest, add(i)
}

func (r *snapshotReader) addRoster(i *rosterItem) error {
	if i.Roster == nil {
		return damaged("the roster is absent")
	}
	r.state.roster = i.Roster
	return nil
}

func (r *snapshotReader) addRecord(i *recordItem) error {
	lastRevision := Revision(0)
	if n := len(r.state.recordOrder); n > 0 {
		previous, _ := r.records.Get(r.state.recordOrder[n-1])
		lastRevision = previous.Revision
	}
	_, duplicate := r.records.Get(i.Number)
	if duplicate || i.Number == 0 || i.Revision <= lastRevision || i.Revision > r.head.Revision || len(r.state.recordOrder) == maxRecords {
		return damaged("the record of ticket %d is invalid", i.Number)
	}
	r.records.Set(i.Number, Record{Number: i.Number, Revision: i.Revision, Digest: i.Digest})
	r.state.recordOrder = append(r.state.recordOrder, i.Number)
	return nil
}

func (r *snapshotReader) addTombstone(i *tombstoneItem) error {
	known := i.Kind == kindService || i.Kind == kindRoute || i.Kind == kindAccount
	name := i.name()
	if err := r.checkNameOrder(name); err != nil {
		return err
	}
	if !known || i.Number <= r.head.Lowest || r.tombstones.Len() == maxTombstones {
		return damaged("the tombstone of %s.%s is invalid", i.Kind, i.Name)
	}
	if err := validateName(string(i.Kind), i.Name); err != nil {
		return result.Wrap(result.SnapshotDamaged, err, "snapshot tombstone")
	}
	r.tombstones.Set(name, i.Number)
	return nil
}

// kindOf maps a section to the kind of its objects.
var kindOf = map[section]kind{sectionService: kindService, sectionRoute: kindRoute, sectionAccount: kindAccount}

func addObject[T any](r *snapshotReader, objects *cow.Editor[string, Object[T]], i *objectItem[T], validate func(string, *T) error) error {
	name := objectName{kindOf[i.Section], i.Name}
	if err := r.checkNameOrder(name); err != nil {
		return err
	}
	if _, removed := r.tombstones.Get(name); removed || i.Value == nil || i.Number == 0 {
		return damaged("%s.%s has no value, no ticket number, or a tombstone", name.kind, name.name)
	}
	if err := validate(i.Name, i.Value); err != nil {
		return result.Wrap(result.SnapshotDamaged, err, "snapshot object")
	}
	objects.Set(i.Name, Object[T]{Number: i.Number, Value: i.Value})
	return nil
}

func (r *snapshotReader) addRoute(i *objectItem[Route]) error {
	if err := addObject(r, r.routes, i, validateRoute); err != nil {
		return err
	}
	key := hostPrefix{i.Value.Host, i.Value.Prefix}
	if other, duplicate := r.prefixes.Get(key); duplicate {
		return damaged("routes.%s and routes.%s have the same host and prefix", i.Name, other)
	}
	for _, service := range i.Value.services() {
		if _, ok := r.services.Get(service); !ok {
			return damaged("routes.%s names an unknown service", i.Name)
		}
	}
	r.prefixes.Set(key, i.Name)
	countServices(r.routeCounts, i.Value, 1)
	return nil
}

func (r *snapshotReader) addAccount(i *objectItem[Account]) error {
	if err := addObject(r, r.accounts, i, validateAccount); err != nil {
		return err
	}
	for _, k := range i.Value.Keys {
		if _, duplicate := r.keys.Get(k.Prefix64()); duplicate {
			return damaged("a key of accounts.%s occurs twice", i.Name)
		}
		r.keys.Set(k.Prefix64(), i.Name)
	}
	return nil
}

func (r *snapshotReader) finish(m Manifest) (*ConfigState, error) {
	if r.lastSection == 0 || r.head.Revision != m.Revision {
		return nil, damaged("the snapshot is at revision %d, its manifest at %d", r.head.Revision, m.Revision)
	}
	c := r.state
	c.revision, c.lowWatermark = r.head.Revision, r.head.Lowest
	c.services, c.routes, c.accounts = r.services.Map(), r.routes.Map(), r.accounts.Map()
	c.tombstones, c.records = r.tombstones.Map(), r.records.Map()
	c.keys, c.prefixes, c.routeCounts = r.keys.Map(), r.prefixes.Map(), r.routeCounts.Map()
	return c, nil
}
