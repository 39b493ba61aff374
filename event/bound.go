package event

import (
	"sync"
	"time"
)

// maxRequestLinesPerSecond bounds the log lines about single requests that one process writes. At about 4 µs per
// line they cost less than a thousandth of a core.
const maxRequestLinesPerSecond = 200

// lineLimiter counts the lines written in the current second and drops those beyond maxRequestLinesPerSecond. The
// zero value is ready to use.
type lineLimiter struct {
	mu      sync.Mutex
	second  int64
	lines   int
	dropped int
}

// allow reports whether one more line may be written. dropped is the number of lines dropped in an earlier second
// that no call has returned yet.
func (l *lineLimiter) allow(now time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
		dropped, l.dropped = l.dropped, 0
	}
	if l.lines >= maxRequestLinesPerSecond {
		l.dropped++
		return false, dropped
	}
	l.lines++
	return true, dropped
}

// firstRequestEvent and lastRequestEvent bound the range of event numbers about single requests.
const (
	firstRequestEvent ID = 4001
	lastRequestEvent  ID = 4099
)

func (id ID) isRequestEvent() bool { return id >= firstRequestEvent && id <= lastRequestEvent }
