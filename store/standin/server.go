// Package standin is a small stand-in for the users' platform: the object API over HTTP, in memory,
// with faults on demand. It serves trials and tests; it is not a store.
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

// FaultPath is where faults are read and set, as JSON.
const FaultPath = "/standin/faults"

// CallsPath is where the counts of calls are read.
const CallsPath = "/standin/calls"

// Faults are the faults of the stand-in; the zero value has none.
type Faults struct {
	// Unavailable refuses every call without effect.
	Unavailable bool `json:"away"`
	// DelayMillis delays every call before it takes effect, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// DropWriteResponses is how many of the next writes take effect while the connection breaks.
	DropWriteResponses int `json:"loseWriteAnswers"`
	// TruncateReads is how many of the next answers to reads break off in the middle.
	TruncateReads int `json:"breakAnswers"`
	// StaleReads answers reads and watches from the state at the time it was set.
	StaleReads bool `json:"staleReads"`
	// ReadsPerSecond and WritesPerSecond are the allowances; 0 means no limit.
	ReadsPerSecond  int `json:"readsPerSecond"`
	WritesPerSecond int `json:"writesPerSecond"`
}

// Server is the stand-in; it is an http.Handler.
type Server struct {
	store *store.Memory

	mu     sync.Mutex
	faults Faults
	stale  *store.Memory
	window time.Time
	reads  int
	writes int
	calls  map[store.CallKind]uint64
	held   chan struct{} // calls wait until it is closed; nil for none
}

// New returns a stand-in over memory.
func New(memory *store.Memory) *Server {
	return &Server{store: memory, calls: make(map[store.CallKind]uint64)}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if f.StaleReads {
		s.stale = s.store.Clone()
	}
	s.faults = f
}

// BlockCalls lets every further call wait, before it takes effect, until release is called.
func (s *Server) BlockCalls() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(chan struct{})
	s.held = held
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.held == held {
			s.held = nil
		}
		close(held)
	}
}

// Calls returns how many calls of each kind came, refused ones included; a watch is one, however long it waits.
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
		http.Error(w, "body broke off", http.StatusBadRequest)
		return
	}
	f, ok := s.admit(w, r)
	if !ok {
		return
	}
	s.wait(time.Duration(f.DelayMillis) * time.Millisecond)
	if r.URL.Path == store.ListPath {
		s.list(w, r)
		return
	}
	s.object(w, r, strings.TrimPrefix(r.URL.Path, store.ObjectPath), value)
}

func (s *Server) wait(d time.Duration) {
	s.mu.Lock()
	held := s.held
	s.mu.Unlock()
	if held != nil {
		<-held
	}
	if d > 0 {
		time.Sleep(d)
	}
}

// callOf names the kind of a call, or "" for none.
func callOf(r *http.Request) store.CallKind {
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

// admit applies the faults that refuse a call.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := callOf(r)
	if call == "" {
		http.Error(w, "no such call", http.StatusBadRequest)
		return s.faults, false
	}
	s.calls[call]++
	if s.faults.Unavailable {
		w.Header().Set(store.HeaderNotApplied, "1")
		http.Error(w, "away", http.StatusServiceUnavailable)
		return s.faults, false
	}
	if !s.withinAllowance(r.Method == http.MethodGet) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return s.faults, false
	}
	return s.faults, true
}

func (s *Server) withinAllowance(read bool) bool {
	now := time.Now()
	if now.Sub(s.window) >= time.Second {
		s.window, s.reads, s.writes = now, 0, 0
	}
	if read {
		s.reads++
		return s.faults.ReadsPerSecond == 0 || s.reads <= s.faults.ReadsPerSecond
	}
	s.writes++
	return s.faults.WritesPerSecond == 0 || s.writes <= s.faults.WritesPerSecond
}

// reader is the state that reads see.
func (s *Server) reader() *store.Memory {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		return s.stale
	}
	return s.store
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.reader().List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	rows := make([]store.ListEntry, 0, len(objects))
	for _, o := range objects {
		rows = append(rows, store.ListEntry{Name: o.Name, Version: o.Version})
	}
	body, _ := json.Marshal(rows)
	s.answer(w, body)
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

// answer writes a body with its length, or half of it when that fault is set.
func (s *Server) answer(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.mu.Lock()
	broken := s.faults.TruncateReads > 0
	if broken {
		s.faults.TruncateReads--
	}
	s.mu.Unlock()
	if broken {
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
		o, err = s.reader().Get(r.Context(), name)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(o.Version), 10))
	s.answer(w, o.Value)
}

func (s *Server) watch(r *http.Request, name, after string) (store.Object, error) {
	version, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(store.QueryWait))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	return s.reader().Watch(ctx, name, store.Version(version))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, name string, value []byte) {
	before, ok := before(r)
	if !ok {
		http.Error(w, "a write needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return
	}
	v, err := s.store.Put(r.Context(), name, before, value)
	s.loseAnswer()
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(v), 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, name string) {
	before, ok := before(r)
	if !ok {
		http.Error(w, "a delete needs If-Match", http.StatusPreconditionRequired)
		return
	}
	err := s.store.Delete(r.Context(), name, before)
	s.loseAnswer()
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loseAnswer breaks the connection after the write when that fault is set.
func (s *Server) loseAnswer() {
	s.mu.Lock()
	lose := s.faults.DropWriteResponses > 0
	if lose {
		s.faults.DropWriteResponses--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// before reads the condition of a write.
func before(r *http.Request) (store.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return store.Version(v), err == nil && v > 0
}

func fail(w http.ResponseWriter, err error) {
	status := result.CodeOf(err).HTTPStatus()
	if result.Is(err, result.PlatformConflict) {
		status = http.StatusPreconditionFailed
	}
	http.Error(w, err.Error(), status)
}
