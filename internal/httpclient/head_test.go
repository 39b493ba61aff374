package httpclient

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// chunkedConn is a connection that receives given parts, one a read, and then ends.
type chunkedConn struct {
	net.Conn
	parts [][]byte
}

// Read implements net.Conn.
func (c *chunkedConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	return n, nil
}

// SetWriteDeadline implements net.Conn.
func (*chunkedConn) SetWriteDeadline(time.Time) error { return nil }

// TestHeadIsCheckedHoweverItIsSplit reads responses that arrive in two parts, divided after each byte. What precedes a malformed
// name is received, nothing behind it, and every later read fails too.
func TestHeadIsCheckedHoweverItIsSplit(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	for response, accepted := range map[string]string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n x y: z\r\n":             "",
		"HTTP/1.1 200 OK\nA: b\n\n x y: z\n":                     "",
		"HTTP/1.1 200\r\n\r\n x y: z\r\n":                        "",
		interim + interim + "HTTP/1.1 200 OK\r\n\r\n x y: z\r\n": "",
		"HTTP/1.1  100 \r\n\r\nHTTP/1.1 204 X\r\nA B: c\r\n\r\n": "HTTP/1.1  100 \r\n\r\nHTTP/1.1 204 X\r\nA",
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n":               "HTTP/1.1 200 OK\r\nA: b\r\n",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                       "HTTP/1.1 200 OK\r\nA",
		interim + "HTTP/1.1 200 OK\r\n\tA: b\r\n\r\n":            interim + "HTTP/1.1 200 OK\r\n",
	} {
		t.Run(response, func(t *testing.T) {
			is := is.New(t)
			for n := range len(response) + 1 {
				c := NewConn(&chunkedConn{parts: [][]byte{[]byte(response[:n]), []byte(response[n:])}})
				ExpectHead(c)
				received, err := io.ReadAll(c)
				if accepted == "" {
					is.NoErr(err)
					is.Equal(string(received), response)
					continue
				}
				is.True(errors.Is(err, errFieldName))
				is.Equal(string(received), accepted)
				more, err := c.Read(make([]byte, 100))
				is.Equal(more, 0)
				is.True(errors.Is(err, errFieldName))
			}
		})
	}
}

// TestHeadOfEachResponseIsChecked sends a malformed name in the body of one response and in the head of the next.
func TestHeadOfEachResponseIsChecked(t *testing.T) {
	is := is.New(t)
	const first, second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na: \r\n", "HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\n"
	c := NewConn(&chunkedConn{parts: [][]byte{[]byte(first), []byte(second)}})
	ExpectHead(c)
	p := make([]byte, 100)
	n, err := c.Read(p)
	is.NoErr(err)
	is.Equal(string(p[:n]), first)
	ExpectHead(c)
	n, err = c.Read(p)
	is.True(errors.Is(err, errFieldName))
	is.Equal(string(p[:n]), "HTTP/1.1 200 OK\r\nContent")
}

// FuzzHeadScanner checks that a head is judged alike in one part and byte by byte, and that nothing is accepted behind what is
// refused.
func FuzzHeadScanner(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nA : b\r\n\r\n", "\n\n", " "} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var whole, bytewise headScanner
		n, err := whole.scan(data)
		m := 0
		for m < len(data) {
			if _, single := bytewise.scan(data[m : m+1]); single != nil {
				break
			}
			m++
		}
		if n != m || (err != nil) != (n < len(data)) {
			t.Fatalf("%q: %d bytes and %v at once, %d one by one", data, n, err, m)
		}
		if err != nil && bytes.IndexByte([]byte("\r\n:"), data[n]) >= 0 {
			t.Fatalf("%q is refused at %d", data, n)
		}
	})
}
