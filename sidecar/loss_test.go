package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/freshness"
)

// losses are the ways in which instances lose their peers.
var losses = map[string]func(f *simulation, lost []*simulated){
	"killed": func(_ *simulation, lost []*simulated) {
		for _, x := range lost {
			x.ended = true
		}
	},
	"frozen": func(_ *simulation, lost []*simulated) {
		for _, x := range lost {
			x.frozen, x.paused = true, true
		}
	},
	"frozen for a while": func(f *simulation, lost []*simulated) {
		for _, x := range lost {
			x.frozen, x.paused = true, true
		}
		f.after(1100*time.Millisecond, func() {
			for _, x := range lost {
				x.frozen = false
				for _, run := range x.held {
					run()
				}
			}
		})
	},
	"cut off": func(_ *simulation, lost []*simulated) {
		for _, x := range lost {
			x.isolated = true
		}
	},
}

// TestInstancesLeftLearnOfChangesInTime guards against a configuration that is late at an instance whose peers are gone: those whose turn
// it was to read the store, and those whom the others told in its place.
func TestInstancesLeftLearnOfChangesInTime(t *testing.T) {
	for name, lose := range losses {
		for _, where := range []struct {
			what, domain string
			left         int
		}{
			{"nine in ten", "", 4}, {"all but one", "", 1}, {"half", "", 19}, {"one domain but for one", "domain1", 1}, {"one", "", 37}, {"all", "", 0},
		} {
			for k, lead := range []time.Duration{300 * time.Millisecond, 20 * time.Millisecond, -time.Millisecond, -100 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%s/%v before", name, where.what, lead), func(t *testing.T) {
					f := newSimulation(t, 38, true, uint64(k+1))
					lost := f.choose(where.domain, where.left)
					f.after(max(-lead, 0), func() { lose(f, lost) })
					f.run(max(lead, 0))
					f.change()
					f.run(100 * time.Millisecond)
					f.change()
					f.run(2 * f.deadline)
					f.checkInForce()
				})
			}
		}
	}
}

// TestReadsOfTheStoreAreBounded counts the reads of a fleet: at most one a turn on a calm day, and one within freshness.Patience for each
// instance that is left after a loss.
func TestReadsOfTheStoreAreBounded(t *testing.T) {
	for _, n := range []int{38, 352, 2800} {
		for name, lost := range map[string]int{"calm": 0, "nine in ten killed": n * 9 / 10, "half killed": n / 2, "all cut off": n} {
			t.Run(fmt.Sprintf("%d/%s", n, name), func(t *testing.T) {
				is := is.New(t)
				f := newSimulation(t, n, false, 1)
				f.loss = 0.005
				f.run(10 * time.Second)
				is.True(len(f.reads) <= int(10*time.Second/turnLength(f.deadline)))

				how, left := "killed", n-lost
				if lost == n {
					how, left = "cut off", n
				}
				losses[how](f, f.choose("", n-lost))
				f.change()
				f.run(4 * f.deadline)
				f.checkInForce()
				peak := f.peak(freshness.Patience(f.deadline))
				t.Logf("%d reads of %d instances in %v, %d reads in all", peak, left, freshness.Patience(f.deadline), len(f.reads))
				is.True(peak <= left)
				if name == "calm" {
					is.True(len(f.reads) <= int((10*time.Second+4*f.deadline)/turnLength(f.deadline)))
				}
			})
		}
	}
}

// TestReadsOfADownStoreAreBounded counts the reads while the store refuses all of them: three for each instance within freshness.Patience,
// and later two within the deadline. Afterwards, a change is in force in time.
func TestReadsOfADownStoreAreBounded(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{38, 352, 2800} {
		f := newSimulation(t, n, false, 1)
		f.run(2 * time.Second)
		f.down = true
		f.run(2 * f.deadline)
		is.True(f.peak(freshness.Patience(f.deadline)) <= 3*n)
		f.reads = nil
		f.run(3 * f.deadline)
		is.True(f.peak(f.deadline) <= 2*n)
		f.down = false
		f.run(f.deadline)
		f.change()
		f.run(f.deadline)
		f.checkInForce()
	}
}
