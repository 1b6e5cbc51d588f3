// Package fixedseed makes property tests draw the same cases in every run; tests import it for its side effect.
package fixedseed

import (
	"flag"

	// The flags of rapid must be registered before they are set.
	_ "pgregory.net/rapid"
)

// seed is an arbitrary value; -rapid.seed on the command line replaces it.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
