// Package standin is a fake of the platform's object store. It serves the store's HTTP protocol from memory and injects
// faults on demand. It is meant for trials and tests only, because it persists nothing.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthstile/result"
	"amaranthstile/store"
)

// FaultPath is the URL path at which faults are read and set, as JSON.
const FaultPath = "/standin/faults"

// CallsPath is the URL path at which the counts of calls are read.
const CallsPath = "/standin/calls"

// Faults are the faults that the server injects; the zero value injects none.
type Faults struct {
	// Unavailable makes the server refuse every call without effect.
	Unavailable bool `json:"away"`
	// DelayMillis is the delay of every call before it takes effect, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// DropWriteResponses is for how many of the next writes the server executes the write and then closes the
	// connection without a response.
	DropWriteResponses int `json:"loseWriteAnswers"`
	// TruncateReads is how many of the next responses to reads are cut off in the middle.
	TruncateReads int `json:"breakAnswers"`
	// StaleReads makes the server answer reads and watches from a snapshot that it takes when the fault is set.
	StaleReads bool `json:"staleReads"`
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit.
	ReadsPerSecond  int `json:"readsPerSecond"`
	WritesPerSecond int `json:"writesPerSecond"`
}

// Server is the fake object store; it is an http.Handler.
type Server struct {
	store *store.Memory

	mu            sync.Mutex
	faults        Faults
	staleSnapshot *store.Memory
	windowStart   time.Time
	reads         int
	writes        int
	calls         map[store.CallKind]uint64
	blocked       chan struct{} // calls wait until it is closed; nil if calls are not blocked
}

// New returns a server whose objects are held by memory.
func New(memory *store.Memory) *Server {
	return &Server{store: memory, calls: make(map[store.CallKind]uint64)}
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleSnapshot = nil
	if f.StaleReads {
		s.staleSnapshot = s.store.Clone()
	}
	s.faults = f
}

// BlockCalls blocks every further call, before it takes effect, until release is called.
func (s *Server) BlockCalls() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := make(chan struct{})
	s.blocked = blocked
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.blocked == blocked {
			s.blocked = nil
		}
		close(blocked)
	}
}

// Calls returns how many calls of each kind arrived, including refused ones. A watch counts as one call, however long
// it waits.
func (s *Server) Calls() map[store.CallKind]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case FaultPath:
		s.serveFaults(w, r)
		return
	case CallsPath:
		_ = json.NewEncoder(w).Encode(s.Calls())
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	f, ok := s.admit(w, r)
	if !ok {
		return
	}
	s.delay(time.Duration(f.DelayMillis) * time.Millisecond)
	if r.URL.Path == store.ListPath {
		s.list(w, r)
		return
	}
	s.object(w, r, strings.TrimPrefix(r.URL.Path, store.ObjectPath), value)
}

// delay waits until calls are not blocked, and then for d.
func (s *Server) delay(d time.Duration) {
	s.mu.Lock()
	blocked := s.blocked
	s.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	if d > 0 {
		time.Sleep(d)
	}
}

// callKind returns the kind of a call, or "" if the request is not a call of the object store.
func callKind(r *http.Request) store.CallKind {
	name, object := strings.CutPrefix(r.URL.Path, store.ObjectPath)
	object = object && name != ""
	switch {
	case r.Method == http.MethodGet && r.URL.Path == store.ListPath:
		return store.CallList
	case r.Method == http.MethodGet && object && r.URL.Query().Has(store.QueryAfter):
		return store.CallWatch
	case r.Method == http.MethodGet && object:
		return store.CallGet
	case r.Method == http.MethodPut && object:
		return store.CallPut
	case r.Method == http.MethodDelete && object:
		return store.CallDelete
	}
	return ""
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(f)
}

// admit counts a call and applies the faults that refuse calls. It reports whether the call is admitted.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := callKind(r)
	if kind == "" {
		http.Error(w, "unknown method or path", http.StatusBadRequest)
		return s.faults, false
	}
	s.calls[kind]++
	if s.faults.Unavailable {
		w.Header().Set(store.HeaderNotApplied, "1")
		http.Error(w, "away", http.StatusServiceUnavailable)
		return s.faults, false
	}
	if !s.withinRateLimit(r.Method == http.MethodGet) {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return s.faults, false
	}
	return s.faults, true
}

func (s *Server) withinRateLimit(read bool) bool {
	now := time.Now()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.reads, s.writes = now, 0, 0
	}
	if read {
		s.reads++
		return s.faults.ReadsPerSecond == 0 || s.reads <= s.faults.ReadsPerSecond
	}
	s.writes++
	return s.faults.WritesPerSecond == 0 || s.writes <= s.faults.WritesPerSecond
}

// readStore returns the state that reads are answered from.
func (s *Server) readStore() *store.Memory {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSnapshot != nil {
		return s.staleSnapshot
	}
	return s.store
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.readStore().List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	entries := make([]store.ListEntry, 0, len(objects))
	for _, o := range objects {
		entries = append(entries, store.ListEntry{Name: o.Name, Version: o.Version})
	}
	body, _ := json.Marshal(entries)
	s.respond(w, body)
}

func (s *Server) object(w http.ResponseWriter, r *http.Request, name string, value []byte) {
	switch r.Method {
	case http.MethodGet:
		s.read(w, r, name)
	case http.MethodPut:
		s.put(w, r, name, value)
	default:
		s.remove(w, r, name)
	}
}

// respond writes a body with its length, or only half of the body if TruncateReads is set.
func (s *Server) respond(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.mu.Lock()
	truncate := s.faults.TruncateReads > 0
	if truncate {
		s.faults.TruncateReads--
	}
	s.mu.Unlock()
	if truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, name string) {
	var o store.Object
	var err error
	if after := r.URL.Query().Get(store.QueryAfter); after != "" {
		o, err = s.watch(r, name, after)
	} else {
		o, err = s.readStore().Get(r.Context(), name)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(o.Version), 10))
	s.respond(w, o.Value)
}

func (s *Server) watch(r *http.Request, name, after string) (store.Object, error) {
	version, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(store.QueryWait))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	return s.readStore().Watch(ctx, name, store.Version(version))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, name string, value []byte) {
	expected, ok := expectedVersion(r)
	if !ok {
		http.Error(w, "a put needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return
	}
	v, err := s.store.Put(r.Context(), name, expected, value)
	s.dropResponse()
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(v), 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, name string) {
	expected, ok := expectedVersion(r)
	if !ok {
		http.Error(w, "a delete needs If-Match", http.StatusPreconditionRequired)
		return
	}
	err := s.store.Delete(r.Context(), name, expected)
	s.dropResponse()
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// dropResponse closes the connection after a write if DropWriteResponses is set.
func (s *Server) dropResponse() {
	s.mu.Lock()
	drop := s.faults.DropWriteResponses > 0
	if drop {
		s.faults.DropWriteResponses--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
}

// expectedVersion returns the version in the precondition of a write, and whether the precondition is valid.
func expectedVersion(r *http.Request) (store.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return store.Version(v), err == nil && v > 0
}

func writeError(w http.ResponseWriter, err error) {
	status := result.CodeOf(err).HTTPStatus()
	if result.Is(err, result.PlatformConflict) {
		status = http.StatusPreconditionFailed
	}
	http.Error(w, err.Error(), status)
}
