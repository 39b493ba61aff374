package pipelining

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzHeadScanner compares the scanner with net/http: where the scanner finds the end of a request, net/http must find
// it in the same place, however the bytes are divided.
func FuzzHeadScanner(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello",
		"GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: 00000000000000000005\r\n\r\nhello",
		"GET / HTTP/1.1\r\n: x\r\n\r\n",
		"GET / HTTP/1.1\r\nA:\x00\r\n\r\n",
	} {
		f.Add([]byte(seed), byte(7))
	}
	f.Fuzz(func(t *testing.T, b []byte, piece byte) {
		var whole headScanner
		n, complete := whole.scan(b)
		m, completeInPieces, opaque := scanInPieces(b, int(piece)+1)
		if complete != completeInPieces || whole.opaque != opaque || complete && n != m {
			t.Fatalf("whole: %d %v, in pieces: %d %v", n, complete, m, completeInPieces)
		}
		if complete {
			compareWithServer(t, b, n, whole.bodyLength)
		}
	})
}

// scanInPieces scans the bytes in pieces of the given size.
func scanInPieces(b []byte, size int) (n int, complete, opaque bool) {
	var s headScanner
	for len(b) > 0 && !complete && !s.opaque {
		piece := b[:min(size, len(b))]
		var used int
		used, complete = s.scan(piece)
		n += used
		b = b[len(piece):]
	}
	return n, complete, s.opaque
}

// compareWithServer checks that net/http finds the end of the head and the length of the body where the scanner did.
func compareWithServer(t *testing.T, b []byte, n int, bodyLength int64) {
	in := bufio.NewReaderSize(bytes.NewReader(b), 16)
	r, err := http.ReadRequest(in)
	if err != nil {
		return // the server refuses the request and closes the connection
	}
	if max(r.ContentLength, 0) != bodyLength || len(r.TransferEncoding) > 0 || r.Close {
		t.Fatalf("net/http: length %d, %v, close %v; scanner: length %d", r.ContentLength, r.TransferEncoding, r.Close, bodyLength)
	}
	rest, err := io.ReadAll(in)
	if err != nil || !bytes.Equal(rest, b[n:]) {
		t.Fatalf("net/http leaves %q behind the head, the scanner %q", rest, b[n:])
	}
}
