package inspect

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"amaranthstile/event"
	"amaranthstile/result"
)

// Line is one log line; fields that it lacks are zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    event.ID  `json:"event"`
	Message  string    `json:"message"`

	Request string      `json:"request"`
	Service string      `json:"service"`
	Account string      `json:"account"`
	Version uint64      `json:"version"`
	Backend string      `json:"backend"`
	Status  int         `json:"status"`
	Code    result.Code `json:"code"`
	Run     result.Run  `json:"run"`
	TookMS  int64       `json:"took_ms"`
	CooldownMS  int64       `json:"rest_ms"`
	Outcome string      `json:"outcome"`
	Attempts   string      `json:"tries"`

	// Text is the line as it was written.
	Text string `json:"-"`
}

// maxLineBytes bounds a line, in bytes; longer ones are no lines of an instance.
const maxLineBytes = 1 << 20

// Read reads lines, in the order of their times. What stands before the first brace of a line is passed over, so that logs that were
// gathered with a prefix can be read; skipped counts the lines that are none of an instance.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			skipped++
			continue
		}
		l := Line{Text: string(s.Bytes()[at:])}
		if json.Unmarshal(s.Bytes()[at:], &l) != nil || l.Event == 0 {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, s.Err()
}

// isDecision tells whether the line is an entry side's decision on a request.
func (l Line) isDecision() bool {
	return l.Event == event.RequestAnswered || l.Event == event.RequestRefused
}

// served tells whether a decision passed a backend server's answer on that is no failure.
func (l Line) served() bool {
	return l.Event == event.RequestAnswered && l.Status < http.StatusInternalServerError
}

// attempt is one attempt of a request.
type attempt struct {
	backend string
	outcome int // the status of the backend server's answer, or a result code
}

// attempts returns the attempts of a decision.
func (l Line) attempts() []attempt {
	var out []attempt
	for _, word := range strings.Fields(l.Attempts) {
		parts := strings.Split(word, ":")
		if len(parts) != 3 {
			continue
		}
		if n, err := strconv.Atoi(parts[1]); err == nil {
			out = append(out, attempt{backend: parts[0], outcome: n})
		}
	}
	if len(out) == 0 && l.Backend != "" && l.isDecision() {
		out = append(out, attempt{backend: l.Backend, outcome: l.Status})
	}
	return out
}

// failed tells whether the backend server spoilt the try.
func (t attempt) failed() bool {
	switch result.Code(t.outcome) {
	case result.BackendTimeout, result.AnswerTruncated, result.AnswerCrossed, result.BackendAborted:
		return true
	}
	return t.outcome == http.StatusInternalServerError
}

// succeeded tells whether the backend server answered well.
func (t attempt) succeeded() bool {
	return t.outcome >= http.StatusOK && t.outcome < http.StatusInternalServerError
}
