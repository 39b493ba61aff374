package instance

import "amaranthstile/link"

// Traffic returns what this instance sent to others for control so far.
func (i *Instance) Traffic() link.TrafficStats { return i.traffic.Stats() }
