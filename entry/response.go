package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"amaranthstile/internal/bytebudget"
	"amaranthstile/link"
	"amaranthstile/result"
)

const (
	// responseBufferSize is how many bytes of a response are buffered before the client gets any of it: a response that
	// ends early within them can still be replaced by that of another attempt or reported with its result code.
	responseBufferSize = 64 << 10
	// maxBufferTime bounds how long the beginning of a stream or of a long response is held back.
	maxBufferTime = 50 * time.Millisecond
	readSize      = 16 << 10 // bytes per read
)

// bufferedResponse is a backend server's response whose beginning is buffered.
type bufferedResponse struct {
	resp *http.Response
	head []byte
	rest io.Reader // the body after head, nil if head is the whole body
}

// bufferResponse reads the beginning of a response. A short response of known length is read whole.
func bufferResponse(resp *http.Response) (*bufferedResponse, error) {
	b := &bufferedResponse{resp: resp}
	var err error
	if n := link.BodyLength(resp); n >= 0 && n <= responseBufferSize {
		b.head = make([]byte, n)
		err = link.ReadExactly(resp.Body, b.head)
	} else {
		err = b.fill()
	}
	if err != nil {
		return nil, result.WithRun(result.Wrap(result.AnswerTruncated, err, "the response ended early"), result.Ran)
	}
	return b, nil
}

// responseCost returns how many bytes of the budget a response needs.
func responseCost(resp *http.Response) int64 {
	if n := link.BodyLength(resp); n >= 0 && n <= responseBufferSize {
		return n
	}
	return responseBufferSize + bytebudget.StreamBytes
}

// readResult is the result of one read.
type readResult struct {
	data []byte
	err  error
}

// fill reads until the buffer is full, the response ends or maxBufferTime has passed.
func (b *bufferedResponse) fill() error {
	timer := time.NewTimer(maxBufferTime)
	defer timer.Stop()
	for len(b.head) < responseBufferSize {
		next := startRead(b.resp.Body)
		select {
		case read := <-next:
			b.head = append(b.head, read.data...)
			if errors.Is(read.err, io.EOF) {
				return nil
			}
			if read.err != nil {
				return read.err
			}
		case <-timer.C:
			b.rest = io.MultiReader(&pendingRead{next: next}, b.resp.Body)
			return nil
		}
	}
	b.rest = b.resp.Body
	return nil
}

// startRead starts one read in the background and returns the channel that receives its result.
func startRead(body io.Reader) <-chan readResult {
	next := make(chan readResult, 1)
	go func() {
		data := make([]byte, readSize)
		n, err := body.Read(data)
		next <- readResult{data: data[:n], err: err}
	}()
	return next
}

// pendingRead is an io.Reader of the data from a read that is still in progress.
type pendingRead struct {
	next   <-chan readResult
	result *readResult
}

// Read implements io.Reader.
func (p *pendingRead) Read(buf []byte) (int, error) {
	if p.result == nil {
		read := <-p.next
		p.result = &read
	}
	n := copy(buf, p.result.data)
	p.result.data = p.result.data[n:]
	if len(p.result.data) > 0 {
		return n, nil
	}
	if p.result.err == nil {
		p.result.err = io.EOF
	}
	return n, p.result.err
}
