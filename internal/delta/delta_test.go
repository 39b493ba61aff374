package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/result"
)

const limit = 1 << 20

// TestDecodeReturnsWhatWasEncoded encodes arbitrary data against arbitrary bases.
func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(t, "base")
		data := append(bytes.Repeat(base, rapid.IntRange(0, 3).Draw(t, "repeats")), rapid.SliceOf(rapid.Byte()).Draw(t, "data")...)
		encoded, err := Encode(base, data)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Decode(base, encoded, limit)
		if err != nil || !bytes.Equal(out, data) {
			t.Fatalf("%v, %d bytes of %d", err, len(out), len(data))
		}
	})
}

// lines returns n distinct lines.
func lines(n int) []string {
	out := make([]string, n)
	for k := range out {
		out[k] = fmt.Sprintf(`{"name":"r-%x","path_prefix":"/%x/","kind":"unsafe","timeout_s":3}`, k*7919, k*104729)
	}
	return out
}

// TestAnotherBaseIsDetected guards against data that is put together from the wrong base.
func TestAnotherBaseIsDetected(t *testing.T) {
	is := is.New(t)
	base := lines(1000)
	data := []byte(strings.Join(base[:999], "\n"))
	encoded, err := Encode([]byte(strings.Join(base, "\n")), data)
	is.NoErr(err)
	base[500] = strings.ToUpper(base[500])
	_, err = Decode([]byte(strings.Join(base, "\n")), encoded, limit)
	is.Equal(result.CodeOf(err), result.TicketUnreadable)
	_, err = Decode(nil, encoded, limit)
	is.Equal(result.CodeOf(err), result.TicketUnreadable)
}

// TestSizeFollowsTheChange guards against a cost that grows with what has not changed.
func TestSizeFollowsTheChange(t *testing.T) {
	is := is.New(t)
	const lineBytes = 100
	for _, n := range []int{100, 10_000, 20_000} {
		before := lines(n)
		after := append([]string{"a line that is new"}, before...)
		after = append(after[:n/2], after[n/2+1:]...)
		encoded, err := Encode([]byte(strings.Join(before, "\n")), []byte(strings.Join(after, "\n")))
		is.NoErr(err)
		is.True(len(encoded) < 10*lineBytes)
	}
}

// TestDecodedSizeIsLimited guards against a small message that takes all memory.
func TestDecodedSizeIsLimited(t *testing.T) {
	is := is.New(t)
	encoded, err := Encode(nil, make([]byte, 16*limit))
	is.NoErr(err)
	_, err = Decode(nil, encoded, limit)
	is.Equal(result.CodeOf(err), result.TicketUnreadable)
}
