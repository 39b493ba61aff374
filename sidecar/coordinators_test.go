package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFleetSizeCountsUnseenInstancesForASpan checks that instances that are no longer seen still count for at least one
// span, so that one side of a network partition does not hand out the rates of the whole fleet.
func TestFleetSizeCountsUnseenInstancesForASpan(t *testing.T) {
	is := is.New(t)
	f := fleetSize{span: 10 * time.Second}
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	is.Equal(f.largest(at(0), 38), 38)
	is.Equal(f.largest(at(5), 1), 38)
	is.Equal(f.largest(at(12), 1), 38)
	is.Equal(f.largest(at(23), 1), 1)
	is.Equal(f.largest(at(24), 3), 3)
	is.Equal(f.largest(at(60), 2), 2) // both spans have expired since the last call
}
