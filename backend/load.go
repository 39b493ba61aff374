package backend

import (
	"strconv"
	"strings"
)

// Load is the number of requests running and waiting at a backend server, and its number of slots. Responses carry it
// in the Amaranth-Load header.
type Load struct {
	Running, Waiting, Slots int
}

// String returns the load in the format that ParseLoad reads.
func (l Load) String() string {
	b := make([]byte, 0, 24)
	b = strconv.AppendInt(b, int64(l.Running), 10)
	b = strconv.AppendInt(append(b, ','), int64(l.Waiting), 10)
	b = strconv.AppendInt(append(b, ','), int64(l.Slots), 10)
	return string(b)
}

// ParseLoad parses the format that String returns.
func ParseLoad(s string) (l Load, ok bool) {
	running, rest, _ := strings.Cut(s, ",")
	waiting, slots, ok := strings.Cut(rest, ",")
	l.Running, ok = parseCount(running, ok)
	l.Waiting, ok = parseCount(waiting, ok)
	l.Slots, ok = parseCount(slots, ok)
	return l, ok
}

func parseCount(s string, ok bool) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), ok && err == nil
}
