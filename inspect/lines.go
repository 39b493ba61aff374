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

	Request    string           `json:"request"`
	Service    string           `json:"service"`
	Account    string           `json:"account"`
	Version    uint64           `json:"version"`
	Backend    string           `json:"backend"`
	Status     int              `json:"status"`
	Code       result.Code      `json:"code"`
	Run        result.RunStatus `json:"run"`
	TookMS     int64            `json:"took_ms"`
	CooldownMS int64            `json:"rest_ms"`
	Outcome    string           `json:"outcome"`
	Attempts   string           `json:"tries"`

	// Text is the line as it was written.
	Text string `json:"-"`
}

// maxLineBytes bounds the length of a line; a longer line ends the reading with an error.
const maxLineBytes = 1 << 20

// Read reads log lines and sorts them by time. It ignores the text before the first brace of a line, so that it can
// read logs whose lines were prefixed when they were collected. skipped counts the lines that are not log lines of an
// instance.
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

// isDecision reports whether the line is an entry side's decision on a request.
func (l Line) isDecision() bool {
	return l.Event == event.RequestAnswered || l.Event == event.RequestRefused
}

// served reports whether the decision passed on an answer of a backend server that is not a failure.
func (l Line) served() bool {
	return l.Event == event.RequestAnswered && l.Status < http.StatusInternalServerError
}

// attempt is one attempt of a request at a backend server.
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

// failed reports whether the backend server failed the attempt.
func (a attempt) failed() bool {
	switch result.Code(a.outcome) {
	case result.BackendTimeout, result.AnswerTruncated, result.AnswerCrossed, result.BackendAborted, result.AnswerProtocol:
		return true
	}
	return a.outcome == http.StatusInternalServerError
}

// succeeded reports whether the backend server answered successfully.
func (a attempt) succeeded() bool {
	return a.outcome >= http.StatusOK && a.outcome < http.StatusInternalServerError
}
