package idempotency

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/result"
)

func TestParseKey(t *testing.T) {
	is := is.New(t)
	refs := []ReplicaRef{{"aa", 0}, {"bb", 35}, {"cc", 36}}
	k, err := ParseKey(KeyPrefix(refs) + "mine.too")
	is.NoErr(err)
	is.Equal(k.Replicas, refs)
	for _, bad := range []string{
		"", "uuid", "a1.aa-0.", "a1..x", "a2.aa-0.x", "a1.aa-0_aa-0.x", "a1.aa-0_bb-0_cc-0_dd-0.x", "a1.aa.x",
		"a1.aa--1.x", "a1.-0.x",
		"a1.aa-0." + strings.Repeat("x", MaxKeyBytes),
	} {
		_, err := ParseKey(bad)
		is.Equal(result.CodeOf(err), result.IdempotencyKeyForm)
	}
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{
		"a1.aa-0_bb-z_cc-10.mine", "a1.aa-0.", "a1..x", "a1.aa-0_aa-0.x", "a1.a-3w5e11264sgsf.x", "a1.a-3w5e11264sgsg.x",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			return
		}
		again, err := ParseKey(KeyPrefix(k.Replicas) + "x")
		if err != nil || !slices.Equal(again.Replicas, k.Replicas) || len(k.Replicas) > MaxReplicas || k.Text != text {
			t.Errorf("%q: %v, then %v, %v", text, k, again, err)
		}
	})
}
