package pipelining

import (
	"bytes"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxLineBytes bounds one line of a head; a longer one makes the head opaque.
const maxLineBytes = 8 << 10

// headScanner finds the end of a request's head and the length of its body in the bytes of a connection. It accepts only
// heads whose end every parser sees in the same place: lines that end with CRLF, valid field names and values, and at
// most one decimal Content-Length. Everything else is opaque. The zero value expects the first byte of a head.
type headScanner struct {
	line       []byte // the beginning of an incomplete line
	lines      int    // complete lines
	bodyLength int64
	hasLength  bool
	opaque     bool // the end of the request can't be told from its head
}

// scan takes the next bytes of the connection. It returns how many of them belong to the head and whether the head is
// complete. After a head that turned out to be opaque, n is of no use.
func (s *headScanner) scan(b []byte) (n int, complete bool) {
	for !s.opaque {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			s.keep(b[n:])
			return len(b), false
		}
		line := b[n : n+end+1]
		n += len(line)
		if len(s.line) > 0 {
			s.keep(line)
			line = s.line
		}
		text, ok := bytes.CutSuffix(line, []byte("\r\n"))
		if !ok || bytes.IndexByte(text, '\r') >= 0 {
			s.opaque = true
			break
		}
		if len(text) == 0 && s.lines > 0 {
			return n, true
		}
		s.takeLine(text)
		s.line = s.line[:0]
	}
	return n, false
}

// keep stores the beginning of a line.
func (s *headScanner) keep(b []byte) {
	if len(s.line)+len(b) > maxLineBytes {
		s.opaque = true
		return
	}
	s.line = append(s.line, b...)
}

// takeLine checks one line and records what it says about the end of the request.
func (s *headScanner) takeLine(text []byte) {
	s.lines++
	if s.lines == 1 {
		s.opaque = !bytes.HasSuffix(text, []byte(" HTTP/1.1"))
		return
	}
	name, value, ok := strings.Cut(string(text), ":")
	value = strings.Trim(value, " \t")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		s.opaque = true
		return
	}
	switch strings.ToLower(name) {
	case "transfer-encoding", "expect", "upgrade":
		s.opaque = true
	case "connection":
		s.opaque = httpguts.HeaderValuesContainsToken([]string{value}, "close")
	case "content-length":
		s.takeLength(value)
	}
}

// takeLength records the length of the body.
func (s *headScanner) takeLength(value string) {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || s.hasLength {
		s.opaque = true
		return
	}
	s.hasLength, s.bodyLength = true, int64(length)
}

// reset makes the scanner expect the first byte of the next head.
func (s *headScanner) reset() { *s = headScanner{line: s.line[:0]} }
