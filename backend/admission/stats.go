package admission

// Stats tell how a Controller has decided since it was made.
type Stats struct {
	// LateWaits is the number of requests that were let wait beyond their target, LateRefusals how many of them were refused
	// in the end.
	LateWaits, LateRefusals uint64
	// SlotsKept is how often a request did not get a free slot because it was kept for more urgent routes.
	SlotsKept uint64
	// RetriesRefused is the number of retries that the retry budget did not allow.
	RetriesRefused uint64
	// SpareShare is the share of the slot time in the last seconds that requests which could meet their target left over.
	SpareShare float64
}

// Stats returns how the controller has decided so far.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.SpareShare = c.late.spare
	return s
}

// Stats returns how the gate has decided so far.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Stats()
}
