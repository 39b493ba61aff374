package exit

import (
	"io"
	"net/http"
	"sync"

	"amaranthstile/link"
	"amaranthstile/result"
)

const (
	// maxCloseDelimited is the maximum size in bytes of a response that ends with its connection.
	maxCloseDelimited = 4 << 20
	// pieceBytes is the size in bytes of the pieces in which such a response is kept: the most that a short one wastes.
	pieceBytes = 32 << 10
)

// bufferCloseDelimited reads a response that ends with its connection whole, so that the entry side gets its length. A
// connection that is reset, rather than closed, does not end a response.
func bufferCloseDelimited(resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || link.BodyLength(resp) == 0 {
		return nil
	}
	body := &piecedBody{}
	_, err := io.Copy(body, io.LimitReader(resp.Body, maxCloseDelimited+1))
	if err == nil && body.length <= maxCloseDelimited {
		_ = resp.Body.Close()
		resp.ContentLength, resp.Body = int64(body.length), body
		return nil
	}
	_ = body.Close()
	if err != nil {
		return result.Wrap(result.AnswerTruncated, err, "the response ended early")
	}
	return result.New(result.AnswerTruncated, "a response without a length has more than %d bytes", maxCloseDelimited)
}

// piece is a part of a response body.
type piece [pieceBytes]byte

// freePieces holds the pieces that no body uses.
var freePieces = sync.Pool{New: func() any { return new(piece) }}

// piecedBody is a response body that is written first and read then. It is kept in pieces that later bodies reuse:
// io.ReadAll allocates 2.4 times the size of a 4 MiB body, which stays on the heap while the garbage collector is late. It
// must be closed, and must not be used after that.
type piecedBody struct {
	pieces       []*piece // all but the last are full
	length, read int      // bytes
}

// Write implements io.Writer. It returns no error.
func (b *piecedBody) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		if b.length == len(b.pieces)*pieceBytes {
			b.pieces = append(b.pieces, freePieces.Get().(*piece))
		}
		n := copy(b.pieces[len(b.pieces)-1][b.length%pieceBytes:], rest)
		b.length += n
		rest = rest[n:]
	}
	return len(p), nil
}

// Read implements io.Reader.
func (b *piecedBody) Read(p []byte) (int, error) {
	if b.read == b.length {
		return 0, io.EOF
	}
	start := b.read % pieceBytes
	end := min(pieceBytes, start+b.length-b.read)
	n := copy(p, b.pieces[b.read/pieceBytes][start:end])
	b.read += n
	return n, nil
}

// Close implements io.Closer. It lets later bodies reuse the pieces, and returns no error.
func (b *piecedBody) Close() error {
	for _, p := range b.pieces {
		freePieces.Put(p)
	}
	*b = piecedBody{}
	return nil
}
