package httpclient

import (
	"errors"

	"golang.org/x/net/http/httpguts"
)

var errFieldName = errors.New("malformed field name in the head of a response")

// headScanner checks the names of the fields in the head of a response, and in those of the informational responses before
// it, which the parsed head does not show. A line that begins with a blank is refused too, as RFC 9112, section 5.2, lets a proxy
// do: net/http appends it to the value before it. The zero value expects the first byte of a head.
type headScanner struct {
	line    int  // complete lines of the head
	column  int  // bytes of the line, without its end
	inValue bool // behind the colon of a field
	// status is the first digit of the status, 0 if it did not come yet; afterBlank is whether a blank came before it.
	status     byte
	afterBlank bool
	complete   bool // the final head
}

// scan takes the next bytes of the connection. It returns how many of them precede the first one that no field name can have,
// and errFieldName if there is such a one.
func (s *headScanner) scan(p []byte) (int, error) {
	for n, b := range p {
		if s.complete {
			break
		}
		if !s.take(b) {
			return n, errFieldName
		}
	}
	return len(p), nil
}

// take takes one byte and reports whether it can follow.
func (s *headScanner) take(b byte) bool {
	switch {
	case b == '\n':
		s.endLine()
		return true
	case b == '\r': // net/http refuses one that is not part of the end of a line
		return true
	case s.line == 0:
		s.takeStatus(b)
	case s.inValue:
	case b == ':':
		s.inValue = true
	default:
		s.column++
		return httpguts.IsTokenRune(rune(b))
	}
	s.column++
	return true
}

// takeStatus takes one byte of the status line.
func (s *headScanner) takeStatus(b byte) {
	if b == ' ' {
		s.afterBlank = true
	} else if s.afterBlank && s.status == 0 {
		s.status = b
	}
}

// endLine ends a line. An empty one ends the head, which another one follows if the response is informational.
func (s *headScanner) endLine() {
	if s.line == 0 || s.column > 0 {
		s.line, s.column, s.inValue = s.line+1, 0, false
		return
	}
	*s = headScanner{complete: s.status != '1'}
}
