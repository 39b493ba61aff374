package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"amaranthstile/result"
)

// MaxControlBytes bounds the size of one message on a control connection.
const MaxControlBytes = 4 << 20

// frameCodec prefixes each JSON message with its length as a varint, like jsonrpc2.VarintObjectCodec. It rejects a
// length above MaxControlBytes before it allocates memory.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec. The error carries LinkTooLarge if the message is too large.
func (frameCodec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > MaxControlBytes {
		return result.New(result.LinkTooLarge, "message of %d bytes exceeds the limit", len(data))
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxControlBytes {
		return result.New(result.LinkTooLarge, "announced message size of %d bytes exceeds the limit", size)
	}
	data := make([]byte, 0, min(size, readChunkBytes))
	for uint64(len(data)) < size {
		step := min(size-uint64(len(data)), readChunkBytes)
		offset := len(data)
		data = append(data, make([]byte, step)...)
		if _, err := io.ReadFull(r, data[offset:]); err != nil {
			return err
		}
	}
	return json.Unmarshal(data, v)
}

// readChunkBytes bounds how much memory is allocated ahead of the data received.
const readChunkBytes = 64 << 10
