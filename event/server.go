package event

import (
	"bytes"

	"github.com/phuslu/log"
)

// handshakeErrorWriter receives the error log of an HTTP server. It converts lines about failed TLS handshakes into
// LinkRefused events and drops all others, which are about malformed requests of clients.
type handshakeErrorWriter struct{ logger *Logger }

// Write implements io.Writer.
func (w handshakeErrorWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		w.logger.Log(LinkRefused, F("error", string(bytes.TrimSpace(line))))
	}
	return len(line), nil
}

// ServerErrorLog returns a logger for the error log of an HTTP server; it writes events to e.
func ServerErrorLog(e *Logger) *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: handshakeErrorWriter{e}}}
}
