package event

import (
	"sync"
	"time"
)

// linesPerSecond bounds the lines on requests that one process writes: at about 4 µs a line they cost less than a
// thousandth of a core.
const linesPerSecond = 200

// bound counts the lines of the present second. The zero value is ready.
type bound struct {
	mu      sync.Mutex
	second  int64
	lines   int
	dropped int
}

// take tells whether one more line may be written, and how many were dropped in an earlier second that nobody was told of.
func (b *bound) take(now time.Time) (ok bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.lines = s, 0
		dropped, b.dropped = b.dropped, 0
	}
	if b.lines >= linesPerSecond {
		b.dropped++
		return false, dropped
	}
	b.lines++
	return true, dropped
}

// firstOfRequests and lastOfRequests enclose the numbers of events on single requests.
const (
	firstOfRequests ID = 4001
	lastOfRequests  ID = 4099
)

func (id ID) ofRequest() bool { return id >= firstOfRequests && id <= lastOfRequests }
