package backend

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Statement is what a backend server says about itself in a response. It holds until a later response says otherwise.
type Statement struct {
	// Limited reports whether the backend server limits the requests that it takes from all instances together.
	Limited bool
	// Limit is that limit in requests per second, at least 0.
	Limit float64
	// Leaving reports whether the backend server is about to end.
	Leaving bool
}

// Format formats the statement and its age: the limit, whether the backend server is leaving, and the age in
// milliseconds, separated by ",". The limit is empty if there is none.
func (s Statement) Format(age time.Duration) string {
	limit, leaving := "", 0
	if s.Limited {
		limit = strconv.FormatFloat(s.Limit, 'g', -1, 64)
	}
	if s.Leaving {
		leaving = 1
	}
	return fmt.Sprintf("%s,%d,%d", limit, leaving, age.Milliseconds())
}

// ParseLimit parses a limit in requests per second; ok is false unless it is a finite number of at least 0.
func ParseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(text, 64)
	return limit, err == nil && limit >= 0 && !math.IsInf(limit, 0)
}

// ParseStatement parses a formatted statement and returns it with its age.
func ParseStatement(text string) (s Statement, age time.Duration, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 || fields[1] != "0" && fields[1] != "1" {
		return s, 0, false
	}
	s.Leaving = fields[1] == "1"
	if fields[0] != "" {
		if s.Limit, s.Limited = ParseLimit(fields[0]); !s.Limited {
			return Statement{}, 0, false
		}
	}
	ms, err := strconv.ParseInt(fields[2], 10, 32)
	if err != nil || ms < 0 {
		return Statement{}, 0, false
	}
	return s, time.Duration(ms) * time.Millisecond, true
}
