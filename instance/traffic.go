package instance

import "amaranthstile/link"

// Traffic returns the amount of control traffic that this instance has sent to other instances so far.
func (i *Instance) Traffic() link.TrafficStats { return i.traffic.Stats() }
