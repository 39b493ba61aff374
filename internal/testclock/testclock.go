// Package testclock provides the times that tests read after a step of the time of day.
package testclock

import (
	"time"
	"unsafe"
)

// secondsShift is the position of the seconds in the first word of a time with a monotonic reading; the bits below hold
// the nanoseconds.
const secondsShift = 30

// Stepped returns t as time.Now would have returned it with the time of day stepped ahead by some seconds, or back if the
// number is negative. The monotonic reading stays. It panics if t has none.
func Stepped(t time.Time, seconds int) time.Time {
	out := t
	*(*uint64)(unsafe.Pointer(&out)) += uint64(seconds) << secondsShift
	if out.Sub(t) != 0 || out.Round(0).Sub(t.Round(0)) != time.Duration(seconds)*time.Second {
		panic("testclock: the time has no monotonic reading")
	}
	return out
}
