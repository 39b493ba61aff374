package sidecar

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"amaranthstile/internal/delta"
	"amaranthstile/result"
)

// maxSpecificationBytes bounds an encoded configuration that another instance sends.
const maxSpecificationBytes = 32 << 20

// encodedConfiguration is a configuration as the operator wrote it, and in the forms in which it is sent to other
// instances. It is safe for concurrent use.
type encodedConfiguration struct {
	version       uint64
	specification []byte
	hash          uint64
	// base identifies the configuration that was in force here before; the zero value means none.
	base configurationID
	// whole and difference are encoded when they are first needed; difference is encoded against the base.
	whole, difference func() ([]byte, error)
}

// configurationID identifies the exact text of a configuration. Its hash is not 0.
type configurationID struct {
	Version uint64 `json:"version,omitempty"`
	Hash    uint64 `json:"hash,omitempty"`
}

// newEncodedConfiguration returns the encoded forms of a configuration; before is the one that it replaces, or nil.
func newEncodedConfiguration(version uint64, specification []byte, before *encodedConfiguration) *encodedConfiguration {
	e := &encodedConfiguration{
		version: version, specification: specification, hash: xxhash.Sum64(specification),
		whole: sync.OnceValues(func() ([]byte, error) { return delta.Encode(nil, specification) }),
	}
	if before == nil {
		return e
	}
	base := before.specification
	e.base = before.id()
	e.difference = sync.OnceValues(func() ([]byte, error) { return delta.Encode(base, specification) })
	return e
}

// id returns what identifies the configuration, the zero value for a nil one.
func (e *encodedConfiguration) id() configurationID {
	if e == nil {
		return configurationID{}
	}
	return configurationID{Version: e.version, Hash: e.hash}
}

// encodeFor returns the shortest form for an instance that has a configuration. base is what that instance needs to decode
// it, and the zero value for a form that needs nothing.
func (e *encodedConfiguration) encodeFor(have configurationID) (data []byte, base configurationID, err error) {
	if e.difference != nil && have == e.base {
		data, err = e.difference()
		return data, e.base, err
	}
	data, err = e.whole()
	return data, configurationID{}, err
}

// decodeFrom returns the specification that another instance encoded against a configuration. This one, which may be nil,
// is the one that the other instance was told of.
func (e *encodedConfiguration) decodeFrom(data []byte, base configurationID) ([]byte, error) {
	if base == (configurationID{}) {
		return delta.Decode(nil, data, maxSpecificationBytes)
	}
	if base != e.id() {
		return nil, result.New(result.TicketUnreadable, "the difference is from version %d, not %d", base.Version, e.id().Version)
	}
	return delta.Decode(e.specification, data, maxSpecificationBytes)
}
