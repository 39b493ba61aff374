package ticket

// NewSmallConfigState returns a ConfigState with low limits.
func NewSmallConfigState(records, recent, tombstones int) *ConfigState {
	c := NewConfigState()
	c.limits = limits{records: records, recent: recent, tombstones: tombstones}
	return c
}

// TakeLimits copies the limits of other.
func (c *ConfigState) TakeLimits(other *ConfigState) { c.limits = other.limits }

// Kept returns the numbers of records and tombstones.
func (c *ConfigState) Kept() (records, tombstones int) { return len(c.recordOrder), c.tombstones.Len() }
