// Package fixedseed sets a fixed seed for rapid, so that property tests draw the same cases in every run. Tests import it
// for its side effect.
package fixedseed

import (
	"flag"

	// The import registers the flags of rapid before init sets one.
	_ "pgregory.net/rapid"
)

// seed is an arbitrary value; -rapid.seed on the command line overrides it.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
