package ticket

// NewSmallBook returns a book that remembers little.
func NewSmallBook(records, sure, tombstones int) *ConfigState {
	b := NewConfigState()
	b.limits = limits{records: records, sure: sure, tombstones: tombstones}
	return b
}

// TakeLimits gives b the limits of o.
func (b *ConfigState) TakeLimits(o *ConfigState) { b.limits = o.limits }

// Remembered returns the number of records and tombstones.
func (b *ConfigState) Remembered() (records, tombstones int) { return len(b.order), b.removed.Len() }
