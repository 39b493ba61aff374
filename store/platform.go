// Package store is the interface to the users' object API, where everything lives that must outlast
// the instances, and the HTTP client for it.
//
// The API holds objects by name. Each has a version that grows with every write; a write names the version
// that it replaces, so of two racing writers one gets a conflict. A watch waits until an object has a
// version later than a given one. Every call is counted by the platform, a waiting watch as one.
//
// A write whose answer is lost gives PlatformOutcomeUnknown: it may have taken effect, now or later.
// A read may be stale when it is answered by a lagging part of the platform: versions tell.
package store

import (
	"context"
	"strings"

	"amaranthstile/result"
)

const (
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
	// MaxNameBytes is the longest name of an object.
	MaxNameBytes = 256
)

// Version orders the writes of one object; 0 stands for an object that does not exist.
type Version uint64

// Object is one object of the platform.
type Object struct {
	// Name is a path of lower-case words, digits and "-", joined by "/".
	Name    string
	Version Version
	Value   []byte
}

// Client is the object API. All methods may be called at the same time.
//
// Errors carry the codes PlatformNotFound, PlatformConflict, PlatformTooLarge, PlatformLimited,
// PlatformUnavailable (certainly no effect), PlatformOutcomeUnknown (a write without a clear answer),
// PlatformProtocol (no effect either) and PlatformNameInvalid.
type Client interface {
	// Get reads one object.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names start with prefix, in order of name, without their values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the object if its version is still before; 0 means that it must not exist.
	// It returns the new version.
	Put(ctx context.Context, name string, before Version, value []byte) (Version, error)
	// Delete removes the object if its version is still before.
	Delete(ctx context.Context, name string, before Version) error
	// Watch waits until the object's version is above after and returns it. When the platform ends the
	// wait without a change the error carries PlatformNotFound for an absent object, and otherwise
	// the unchanged object comes back; the caller watches again.
	Watch(ctx context.Context, name string, after Version) (Object, error)
}

const nameBytes = "abcdefghijklmnopqrstuvwxyz0123456789-"

// CheckName refuses a name that no object can have, with PlatformNameInvalid.
func CheckName(name string) error {
	if len(name) > MaxNameBytes {
		return result.New(result.PlatformNameInvalid, "a name of %d bytes is longer than %d", len(name), MaxNameBytes)
	}
	for _, word := range strings.Split(name, "/") {
		if word == "" || strings.Trim(word, nameBytes) != "" {
			return result.New(result.PlatformNameInvalid, "%q is not words of lower-case letters, digits and '-' joined by '/'", name)
		}
	}
	return nil
}

// CheckPrefix refuses a prefix that no name can have, with PlatformNameInvalid. The empty prefix selects all.
func CheckPrefix(prefix string) error {
	if len(prefix) > MaxNameBytes || strings.Trim(prefix, nameBytes+"/") != "" {
		return result.New(result.PlatformNameInvalid, "%q is not the beginning of a name", prefix)
	}
	return nil
}
