// Package store defines the interface to the object store of the users' platform, and contains the HTTP client for it.
// The object store holds all state that must outlive the instances.
//
// The store holds objects by name. Each object has a version that grows with every write. A write names the version
// that it replaces, so of two concurrent writers one gets a conflict. A watch waits until an object has a later version
// than a given one. The platform counts every call; a waiting watch counts as one call.
//
// A write whose response is lost returns PlatformOutcomeUnknown: it may have taken effect, or may still take effect
// later. A read may return stale data if a lagging part of the platform serves it; versions show which data is newer.
package store

import (
	"context"
	"strings"

	"amaranthstile/result"
)

const (
	// MaxValueBytes is the maximum size of an object's value.
	MaxValueBytes = 1 << 20
	// MaxNameBytes is the maximum length of an object's name.
	MaxNameBytes = 256
)

// Version orders the writes of one object; 0 means that the object does not exist.
type Version uint64

// Object is one object of the platform's object store.
type Object struct {
	// Name consists of words of lower-case letters, digits and "-", joined by "/".
	Name    string
	Version Version
	Value   []byte
}

// Client is the interface to the object store. All methods are safe for concurrent use.
//
// Errors carry the codes PlatformNotFound, PlatformConflict, PlatformTooLarge, PlatformLimited, PlatformUnavailable
// (certainly no effect), PlatformOutcomeUnknown (a write without a clear response), PlatformProtocol (no effect either)
// and PlatformNameInvalid.
type Client interface {
	// Get reads one object.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names start with prefix, ordered by name, without their values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the object if its version is still expected; 0 means that the object must not exist. It returns the
	// new version.
	Put(ctx context.Context, name string, expected Version, value []byte) (Version, error)
	// Delete removes the object if its version is still expected.
	Delete(ctx context.Context, name string, expected Version) error
	// Watch waits until the object's version is greater than after, and returns the object. If the platform ends the
	// wait without a change, Watch returns the unchanged object, or an error with PlatformNotFound if there is none.
	// The caller then watches again.
	Watch(ctx context.Context, name string, after Version) (Object, error)
}

const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"

// CheckName returns an error with PlatformNameInvalid for a name that no object can have.
func CheckName(name string) error {
	if len(name) > MaxNameBytes {
		return result.New(result.PlatformNameInvalid,
			"a name of %d bytes exceeds the maximum of %d bytes", len(name), MaxNameBytes)
	}
	for _, word := range strings.Split(name, "/") {
		if word == "" || strings.Trim(word, nameCharacters) != "" {
			return result.New(result.PlatformNameInvalid,
				"name %q does not consist of words of lower-case letters, digits and '-' joined by '/'", name)
		}
	}
	return nil
}

// CheckPrefix returns an error with PlatformNameInvalid for a prefix that no name can have. The empty prefix selects
// all objects.
func CheckPrefix(prefix string) error {
	if len(prefix) > MaxNameBytes || strings.Trim(prefix, nameCharacters+"/") != "" {
		return result.New(result.PlatformNameInvalid, "%q is not a prefix of a valid name", prefix)
	}
	return nil
}
