package link

import (
	"errors"
	"io"
	"net/http"
)

// emptyBody is an empty body that http.Transport does not recognize as empty. The transport may resend a request
// that has no body.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// NewFlushWriter returns a writer that flushes each part of a response to the client at once.
func NewFlushWriter(w http.ResponseWriter) io.Writer {
	return flushWriter{w: w, controller: http.NewResponseController(w)}
}

// flushWriter flushes after every write.
type flushWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}

// ReadExactly fills p from a body of exactly len(p) bytes. It also reads the end of the body, so that the
// connection can be reused.
func ReadExactly(body io.Reader, p []byte) error {
	if _, err := io.ReadFull(body, p); err != nil {
		return err
	}
	var extra [1]byte
	_, err := body.Read(extra[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}
