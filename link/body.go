package link

import (
	"errors"
	"io"
	"net/http"
)

// emptyBody is an empty body that the transport does not know to be empty: it takes a request without a body
// for one that may be sent again.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// NewFlushWriter returns a writer that passes each piece of an answer on at once.
func NewFlushWriter(w http.ResponseWriter) io.Writer {
	return flushing{w: w, c: http.NewResponseController(w)}
}

type flushing struct {
	w http.ResponseWriter
	c *http.ResponseController
}

// Write implements io.Writer.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.c.Flush()
}

// ReadExactly fills p from a body that has exactly so many bytes, and reads the body's end, so that its connection
// is free.
func ReadExactly(body io.Reader, p []byte) error {
	if _, err := io.ReadFull(body, p); err != nil {
		return err
	}
	var more [1]byte
	_, err := body.Read(more[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}
