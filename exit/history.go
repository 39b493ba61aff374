package exit

import "sync"

// historyGenerationSize is how many exchange IDs one generation of an exchangeHistory holds.
const historyGenerationSize = 8192

// exchangeHistory holds the IDs of the exchanges that were forwarded to backend servers, at least the last
// historyGenerationSize of them, so that a duplicate message on the link can't run a request twice. It has two
// generations; when the current one is full, the previous one is dropped.
type exchangeHistory struct {
	mu       sync.Mutex
	current  map[string]struct{}
	previous map[string]struct{}
}

func newExchangeHistory() *exchangeHistory {
	return &exchangeHistory{current: make(map[string]struct{})}
}

// add adds an exchange ID and reports whether it was new.
func (h *exchangeHistory) add(exchangeID string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.current[exchangeID]; ok {
		return false
	}
	if _, ok := h.previous[exchangeID]; ok {
		return false
	}
	if len(h.current) >= historyGenerationSize {
		h.previous = h.current
		h.current = make(map[string]struct{}, historyGenerationSize)
	}
	h.current[exchangeID] = struct{}{}
	return true
}
