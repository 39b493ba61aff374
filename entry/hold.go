package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
)

const (
	// answerBuffer is how much of an answer is held before the caller sees any of it, in bytes: an answer that
	// breaks off earlier can still be fetched elsewhere or be told as what it is.
	answerBuffer = 64 << 10
	// holdTime bounds how long the beginning of a stream or of a long answer is held.
	holdTime  = 50 * time.Millisecond
	pieceSize = 16 << 10 // bytes
)

// answer is a backend server's answer, of which the beginning is held.
type answer struct {
	resp *http.Response
	head []byte
	rest io.Reader // what follows head, nil if head is all
}

// hold reads the beginning of an answer; a short one of known length is read whole.
func hold(resp *http.Response) (*answer, error) {
	a := &answer{resp: resp}
	var err error
	if n := link.BodyLength(resp); n >= 0 && n <= answerBuffer {
		a.head = make([]byte, n)
		err = link.ReadExactly(resp.Body, a.head)
	} else {
		err = a.fill()
	}
	if err != nil {
		return nil, result.WithRun(result.Wrap(result.AnswerTruncated, err, "the answer broke off"), result.Ran)
	}
	return a, nil
}

// piece is the outcome of one read.
type piece struct {
	data []byte
	err  error
}

// fill reads until the buffer is full, the answer is over or the time for holding has passed.
func (a *answer) fill() error {
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	for len(a.head) < answerBuffer {
		next := readPiece(a.resp.Body)
		select {
		case p := <-next:
			a.head = append(a.head, p.data...)
			if errors.Is(p.err, io.EOF) {
				return nil
			}
			if p.err != nil {
				return p.err
			}
		case <-timer.C:
			a.rest = io.MultiReader(&pending{next: next}, a.resp.Body)
			return nil
		}
	}
	a.rest = a.resp.Body
	return nil
}

// readPiece reads once without waiting for it.
func readPiece(body io.Reader) <-chan piece {
	next := make(chan piece, 1)
	go func() {
		data := make([]byte, pieceSize)
		n, err := body.Read(data)
		next <- piece{data: data[:n], err: err}
	}()
	return next
}

// pending is the reader of a piece that is still being read.
type pending struct {
	next <-chan piece
	got  *piece
}

// Read implements io.Reader.
func (p *pending) Read(to []byte) (int, error) {
	if p.got == nil {
		got := <-p.next
		p.got = &got
	}
	n := copy(to, p.got.data)
	p.got.data = p.got.data[n:]
	if len(p.got.data) > 0 {
		return n, nil
	}
	if p.got.err == nil {
		p.got.err = io.EOF
	}
	return n, p.got.err
}
