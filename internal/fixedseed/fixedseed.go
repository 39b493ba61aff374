// Package fixedseed sets a fixed seed for the property-based tests that use rapid, in every package whose tests import
// it, so that each run gives the same result. The command-line flag -rapid.seed still selects another seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
