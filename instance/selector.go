package instance

import (
	"math/rand/v2"
	"time"

	"amaranthstile/balancer"
	"amaranthstile/event"
	"amaranthstile/membership"
)

// newSelector returns the selector of endpoints for the entry side.
func (i *Instance) newSelector() *balancer.Selector {
	return balancer.New(balancer.Options{
		Domain:      i.options.Settings.Domain,
		Floor:       i.configuration.floor,
		Now:         time.Now,
		Rand:        rand.Uint64,
		LinkChanged: i.logLink,
	})
}

func (i *Instance) logLink(other membership.ID, usable bool) {
	id := event.LinkOutOfUse
	if usable {
		id = event.LinkBackInUse
	}
	i.options.Events.Log(id, event.F("other", string(other)))
}
