package idempotency

import (
	"strconv"
	"strings"

	"amaranthstile/result"
)

const (
	// MaxReplicas is how many replicas a key has in a fleet that is large enough.
	MaxReplicas = 3
	// MaxKeyBytes bounds a key with its prefix.
	MaxKeyBytes = 255

	version             = "a1"
	generationBase      = 36
	maxIDBytes          = 32
	fieldSeparator      = "."
	replicaSeparator    = "_"
	generationSeparator = "-"
)

// ReplicaRef names one replica of a key.
type ReplicaRef struct {
	// ID is the identity of the replica's process.
	ID string
	// Generation is the generation of the replica in which the key's prefix was issued.
	Generation uint64
}

// Key is the Idempotency-Key of a client's request.
type Key struct {
	// Text is the whole key.
	Text     string
	Replicas []ReplicaRef
}

// KeyPrefix returns the prefix of the keys that have these replicas.
func KeyPrefix(replicas []ReplicaRef) string {
	parts := make([]string, 0, len(replicas))
	for _, r := range replicas {
		parts = append(parts, r.ID+generationSeparator+strconv.FormatUint(r.Generation, generationBase))
	}
	return version + fieldSeparator + strings.Join(parts, replicaSeparator) + fieldSeparator
}

// ParseKey parses a key that has a prefix; its errors carry IdempotencyKeyForm.
func ParseKey(text string) (Key, error) {
	fields := strings.SplitN(text, fieldSeparator, 3)
	if len(text) > MaxKeyBytes || len(fields) != 3 || fields[0] != version || fields[2] == "" {
		return Key{}, keyFormError()
	}
	k := Key{Text: text}
	for _, part := range strings.Split(fields[1], replicaSeparator) {
		r, ok := parseReplicaRef(part)
		if !ok || len(k.Replicas) == MaxReplicas || k.index(r.ID) >= 0 {
			return Key{}, keyFormError()
		}
		k.Replicas = append(k.Replicas, r)
	}
	return k, nil
}

// CheckKey returns an error for a malformed key, with or without a prefix; the error carries IdempotencyKeyForm.
func CheckKey(text string) error {
	if IsPlain(text) {
		return CheckPlain(text)
	}
	_, err := ParseKey(text)
	return err
}

func keyFormError() error {
	return result.New(result.IdempotencyKeyForm,
		"an Idempotency-Key that begins with \"a1.\" needs a complete prefix from %s", KeyPrefixPath)
}

func parseReplicaRef(part string) (ReplicaRef, bool) {
	id, generation, ok := strings.Cut(part, generationSeparator)
	if !ok || id == "" || len(id) > maxIDBytes {
		return ReplicaRef{}, false
	}
	n, err := strconv.ParseUint(generation, generationBase, 64)
	return ReplicaRef{ID: id, Generation: n}, err == nil
}

// index returns the index of a replica, or -1 if the key does not name it.
func (k Key) index(id string) int {
	for i, r := range k.Replicas {
		if r.ID == id {
			return i
		}
	}
	return -1
}

// majority returns how many replicas must grant the key.
func (k Key) majority() int { return len(k.Replicas)/2 + 1 }
