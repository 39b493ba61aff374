package quota

import "time"

// LateGrantTTL is how long after a late report was sent its grants may be used.
const LateGrantTTL = 300 * time.Millisecond

// lateGrant is what one late report was granted.
type lateGrant struct {
	key    reportStream
	tokens int
	until  time.Time
}

// lateGrants are the granted tokens of one account that instances on slow paths may not have used yet. Until then they count
// as a part of the burst: the bucket would otherwise fill up meanwhile, and a window could have both. The zero value is
// empty. They are designed for the few instances of a fleet whose path is slow at a time.
type lateGrants struct {
	grants []lateGrant // by the time until which they may be used
	total  int         // of all tokens
}

// add adds tokens that are granted now.
func (g *lateGrants) add(now time.Time, key reportStream, tokens int) {
	if tokens > 0 {
		g.grants = append(g.grants, lateGrant{key, tokens, now.Add(LateGrantTTL)})
		g.total += tokens
	}
}

// release removes what a stream was granted before: its instance has used it or never will.
func (g *lateGrants) release(key reportStream) {
	kept := g.grants[:0]
	for _, x := range g.grants {
		if x.key == key {
			g.total -= x.tokens
			continue
		}
		kept = append(kept, x)
	}
	g.grants = kept
}

// next returns the time until which the first of the grants may be used, if there is one.
func (g *lateGrants) next() (until time.Time, found bool) {
	if len(g.grants) == 0 {
		return time.Time{}, false
	}
	return g.grants[0].until, true
}

// expire removes the first of the grants.
func (g *lateGrants) expire() {
	g.total -= g.grants[0].tokens
	g.grants = g.grants[1:]
}
