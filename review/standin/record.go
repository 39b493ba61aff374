package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order of time.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	out    *bufio.Writer
	broken int // how often the rule was broken
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.add("RULE BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
