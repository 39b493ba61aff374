package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStatementIsParsedAsItWasFormatted formats statements of each kind and parses them.
func TestStatementIsParsedAsItWasFormatted(t *testing.T) {
	is := is.New(t)
	for _, s := range []Statement{{}, {Limited: true, Limit: 1.25}, {Limited: true}, {Leaving: true}, {Limited: true, Limit: 3, Leaving: true}} {
		parsed, age, ok := ParseStatement(s.Format(1500 * time.Millisecond))
		is.True(ok)
		is.Equal(parsed, s)
		is.Equal(age, 1500*time.Millisecond)
	}
}

// TestMalformedStatementIsRejected parses text that no instance sends.
func TestMalformedStatementIsRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "1", "1,0", "-1,0,0", "NaN,0,0", "+Inf,0,0", "1,2,0", "1,0,-1", "1,0,x", "1,0,0,0"} {
		_, _, ok := ParseStatement(text)
		is.True(!ok)
	}
}

// FuzzParseStatement checks that text which is accepted is formatted as a statement that is parsed as the same.
func FuzzParseStatement(f *testing.F) {
	for _, text := range []string{"", "1.5,0,100", ",1,0", "1e300,1,2147483647", "0x1p-2,0,1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		s, age, ok := ParseStatement(text)
		if !ok {
			return
		}
		is.True(s.Limit >= 0 && age >= 0)
		again, againAge, ok := ParseStatement(s.Format(age))
		is.True(ok)
		is.Equal(again, s)
		is.Equal(againAge, age)
	})
}
