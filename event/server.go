package event

import (
	"bytes"

	"github.com/phuslu/log"
)

// refusedHandshakes turns the notes of an HTTP server on refused connections into events; its other notes are
// on callers' broken requests and are dropped.
type refusedHandshakes struct{ event *Logger }

// Write implements io.Writer.
func (r refusedHandshakes) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		r.event.Log(LinkRefused, F("error", string(bytes.TrimSpace(line))))
	}
	return len(line), nil
}

// ServerErrorLog returns the logger that an HTTP server takes.
func ServerErrorLog(e *Logger) *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: refusedHandshakes{e}}}
}
