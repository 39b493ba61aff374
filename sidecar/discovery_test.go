package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// contactsPerPage is the size of a page of contacts, as in the platform's store.
const contactsPerPage = 50

// simulatedDiscovery plays the readings of many instances on one list of contacts. A synchronization merges two views.
type simulatedDiscovery struct {
	names   []string // sorted
	cursors []contactCursor
	views   []map[int]bool
	hidden  func(reader, listed int) bool
	calls   int
}

func newSimulatedDiscovery(instances int) *simulatedDiscovery {
	s := &simulatedDiscovery{hidden: func(int, int) bool { return false }}
	for n := range instances {
		s.names = append(s.names, fmt.Sprintf("instance-%05d", n))
		s.cursors = append(s.cursors, contactCursor{after: s.names[n]})
		s.views = append(s.views, map[int]bool{n: true})
	}
	return s
}

// read plays one reading of an instance and the synchronizations after it.
func (s *simulatedDiscovery) read(reader int, random *rand.Rand) {
	from := 0
	for from < len(s.names) && s.names[from] <= s.cursors[reader].after {
		from++
	}
	s.calls++
	if from == len(s.names) {
		from = 0
		s.calls++
	}
	to := min(from+contactsPerPage, len(s.names))
	page := ContactPage{}
	if to < len(s.names) {
		page.Next = s.names[to-1]
	}
	s.cursors[reader].advance(page)
	listed := random.Perm(to - from)
	synced := 0
	for _, n := range listed {
		if n += from; s.views[reader][n] || s.hidden(reader, n) || synced == maxSyncsPerRead {
			continue
		}
		synced++
		s.merge(reader, n)
	}
}

// merge makes all instances that one of the two knows know all that the other one knows, as the membership does within
// seconds.
func (s *simulatedDiscovery) merge(a, b int) {
	for n := range s.views[b] {
		s.views[a][n] = true
	}
	for n := range s.views[a] {
		s.views[n] = s.views[a]
	}
}

// smallestView returns the size of the smallest view.
func (s *simulatedDiscovery) smallestView() int {
	smallest := len(s.names)
	for _, v := range s.views {
		smallest = min(smallest, len(v))
	}
	return smallest
}

// TestPartsThatStartedApartJoin starts 300 instances in two halves that do not see each other's contacts, whether they
// alternate in the list or follow each other, and lets them see all contacts later: one further reading of each instance
// joins them.
func TestPartsThatStartedApartJoin(t *testing.T) {
	const instances = 300
	for name, half := range map[string]func(n int) bool{
		"alternating": func(n int) bool { return n%2 == 0 },
		"in a row":    func(n int) bool { return n < instances/2 },
		"one apart":   func(n int) bool { return n == 17 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulatedDiscovery(instances)
			random := rand.New(rand.NewPCG(1, 1))
			s.hidden = func(reader, listed int) bool { return half(reader) != half(listed) }
			for range 2 {
				for _, n := range random.Perm(instances) {
					s.read(n, random)
				}
			}
			if s.smallestView() == instances {
				t.Fatal("the halves are not apart")
			}
			s.hidden = func(int, int) bool { return false }
			for _, n := range random.Perm(instances) {
				s.read(n, random)
			}
			if got := s.smallestView(); got != instances {
				t.Fatalf("an instance knows %d of %d instances", got, instances)
			}
		})
	}
}

// TestCallsOfAStartDoNotGrowWithTheFleet counts the calls that read contacts until all instances know each other.
func TestCallsOfAStartDoNotGrowWithTheFleet(t *testing.T) {
	for _, instances := range []int{30, 352, 2800} {
		s := newSimulatedDiscovery(instances)
		random := rand.New(rand.NewPCG(1, 1))
		for _, n := range random.Perm(instances) {
			s.read(n, random)
		}
		if got := s.smallestView(); got != instances {
			t.Errorf("an instance knows %d of %d instances", got, instances)
		}
		if perInstance := float64(s.calls) / float64(instances); perInstance > 2 {
			t.Errorf("%d instances: %.1f calls each", instances, perInstance)
		}
	}
}

// TestContactsOfDepartedInstancesCauseFewReadings lists instances that never join, as after a scale-in: within ten minutes
// an instance reads few pages more than without them. An instance that is alone goes on reading often.
func TestContactsOfDepartedInstancesCauseFewReadings(t *testing.T) {
	readings := func(foundUnknown, alone bool) int {
		n := 0
		interval := time.Duration(0)
		for elapsed := time.Duration(0); elapsed < 10*time.Minute; elapsed += interval {
			n++
			interval = nextContactInterval(interval, n, foundUnknown, alone)
		}
		return n
	}
	is := is.New(t)
	is.Equal(readings(false, false), 11) // the first two, then one a minute
	is.True(readings(true, false) <= readings(false, false)+2)
	is.True(readings(false, true) >= 400)
}
