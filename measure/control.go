package measure

import "amaranthstile/fleet"

// trafficCounters are the numbers of bytes and messages that instances sent.
type trafficCounters struct{ bytes, messages uint64 }

// controlTraffic returns the control traffic that all instances have sent to each other since their start.
func controlTraffic(f *fleet.Fleet) trafficCounters {
	var total trafficCounters
	for _, i := range f.Instances {
		s := i.Traffic()
		total.bytes += s.Bytes
		total.messages += s.Messages
	}
	return total
}

// rateSince returns the increase since an earlier reading, divided by the given number of instance seconds.
func (c trafficCounters) rateSince(before trafficCounters, divisor float64) Traffic {
	return Traffic{
		Bytes:    float64(c.bytes-before.bytes) / divisor,
		Messages: float64(c.messages-before.messages) / divisor,
	}
}
