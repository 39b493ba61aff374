package sidecar

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/internal/testclock"
)

// TestRevokedKeyIsRefusedInTimeAfterTheClockWasSteppedBack confirms the configuration while the clock is ahead, and steps it back.
func TestRevokedKeyIsRefusedInTimeAfterTheClockWasSteppedBack(t *testing.T) {
	is := is.New(t)
	var c configurationManager
	b := DefaultBounds()
	b.FailClosed = true
	now := time.Now()
	c.confirm(testclock.Stepped(now, 60))
	is.NoErr(c.checkFreshness(b, now.Add(b.RevocationDeadline)))
	is.True(c.checkFreshness(b, now.Add(b.RevocationDeadline+time.Millisecond)) != nil)
}

// TestKeysAreAcceptedAfterTheClockWasSteppedAhead confirms the configuration, and steps the clock ahead.
func TestKeysAreAcceptedAfterTheClockWasSteppedAhead(t *testing.T) {
	is := is.New(t)
	var c configurationManager
	b := DefaultBounds()
	b.FailClosed = true
	now := time.Now()
	is.True(c.checkFreshness(b, now) != nil) // never confirmed
	c.confirm(now)
	is.NoErr(c.checkFreshness(b, testclock.Stepped(now, 60)))
}

// TestStatedAgeIsNeverNegative covers ages that another instance can't have measured.
func TestStatedAgeIsNeverNegative(t *testing.T) {
	is := is.New(t)
	for _, ms := range []int64{0, -1, math.MinInt64, math.MaxInt64} {
		is.True(configurationResponse{AgeMillis: ms}.age() >= 0)
	}
	is.Equal(configurationResponse{AgeMillis: 1500}.age(), 1500*time.Millisecond)
}
