package demo

import (
	"context"
	"fmt"

	"amaranthstile/fleet"
)

// Serve starts the fleet, prints example commands and runs until ctx ends.
func Serve(ctx context.Context, o Options) error {
	f, err := startFleet(ctx, o.Events)
	if err != nil {
		return err
	}
	defer f.Close()
	first, last := f.Instances[0].Addresses(), f.Instances[len(f.Instances)-1].Addresses()
	account := accounts()[0]
	_, _ = fmt.Fprintf(o.Out, `The fleet runs until you stop it. Try:

  curl -i -H 'Authorization: Bearer %[1]s' http://%[2]s/roster/turn
  curl -i -H 'Authorization: Bearer %[1]s' -d 'gate 7 open' http://%[3]s/compuertas/gate-7
  curl -i http://%[2]s/roster/turn                       # no key: rejected, not run
  curl -s -H 'Authorization: Bearer %[4]s' http://%[5]s/state
  curl -s -H 'Authorization: Bearer %[4]s' http://%[5]s/metrics
`, key(account), first.Clients, last.Clients, fleet.OperatorKey, first.Admin)
	<-ctx.Done()
	return nil
}
