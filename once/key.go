package once

import (
	"strconv"
	"strings"

	"amaranthstile/result"
)

const (
	// MaxReplicas is how many homes a key has in a fleet that is large enough.
	MaxReplicas = 3
	// MaxKeyBytes bounds a key with its prefix.
	MaxKeyBytes = 255

	version      = "a1"
	genBase      = 36
	maxIDBytes   = 32
	fieldMark    = "."
	homeMark     = "_"
	generateMark = "-"
)

// ReplicaRef names one home of a key.
type ReplicaRef struct {
	// ID is the identity of the home's process.
	ID string
	// Generation is the generation of the home in which the key's prefix was given out.
	Generation uint64
}

// Key is a caller's Idempotency-Key.
type Key struct {
	// Text is the whole key.
	Text     string
	Replicas []ReplicaRef
}

// KeyPrefix returns what keys with these homes begin with.
func KeyPrefix(homes []ReplicaRef) string {
	parts := make([]string, 0, len(homes))
	for _, h := range homes {
		parts = append(parts, h.ID+generateMark+strconv.FormatUint(h.Generation, genBase))
	}
	return version + fieldMark + strings.Join(parts, homeMark) + fieldMark
}

// ParseKey reads a key; its errors carry IdempotencyKeyForm.
func ParseKey(text string) (Key, error) {
	fields := strings.SplitN(text, fieldMark, 3)
	if len(text) > MaxKeyBytes || len(fields) != 3 || fields[0] != version || fields[2] == "" {
		return Key{}, badKey()
	}
	k := Key{Text: text}
	for _, part := range strings.Split(fields[1], homeMark) {
		h, ok := parseHome(part)
		if !ok || len(k.Replicas) == MaxReplicas || k.index(h.ID) >= 0 {
			return Key{}, badKey()
		}
		k.Replicas = append(k.Replicas, h)
	}
	return k, nil
}

// CheckKey refuses keys that can't be used, whether they name homes or not; the error carries IdempotencyKeyForm.
func CheckKey(text string) error {
	if IsPlain(text) {
		return CheckPlain(text)
	}
	_, err := ParseKey(text)
	return err
}

func badKey() error {
	return result.New(result.IdempotencyKeyForm, "an Idempotency-Key that begins with \"a1.\" needs a whole prefix from %s", KeyPrefixPath)
}

func parseHome(part string) (ReplicaRef, bool) {
	id, generation, ok := strings.Cut(part, generateMark)
	if !ok || id == "" || len(id) > maxIDBytes {
		return ReplicaRef{}, false
	}
	n, err := strconv.ParseUint(generation, genBase, 64)
	return ReplicaRef{ID: id, Generation: n}, err == nil
}

// index returns the place of a home, -1 for none.
func (k Key) index(id string) int {
	for i, h := range k.Replicas {
		if h.ID == id {
			return i
		}
	}
	return -1
}

// majority is how many homes must grant the key.
func (k Key) majority() int { return len(k.Replicas)/2 + 1 }
