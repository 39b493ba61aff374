// Package delta encodes data as its difference from data that the receiver has.
package delta

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"amaranthstile/result"
)

// dictionaryID marks in a frame that it was encoded against a base.
const dictionaryID = 1

// minWindow is the smallest window in bytes that is used.
const minWindow = 1 << 16

// Encode returns data compressed as its difference from base, which may be empty.
func Encode(base, data []byte) ([]byte, error) {
	// a match may lie anywhere in the base
	window := max(minWindow, 1<<bits.Len(uint(len(base)+len(data))))
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(window, zstd.MaxWindowSize)), zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encoding a difference")
	}
	return e.EncodeAll(data, nil), nil
}

// Decode returns the data that was encoded against the same base, at most limit bytes. The error carries TicketUnreadable if
// the base is another one or the encoded data is damaged.
func Decode(base, encoded []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "decoding a difference")
	}
	defer d.Close()
	data, err := d.DecodeAll(encoded, nil)
	if err != nil {
		return nil, result.Wrap(result.TicketUnreadable, err, "a difference that can't be decoded")
	}
	return data, nil
}
