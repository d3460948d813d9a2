// Package fixedseed sets a fixed seed for property tests, so that they draw the same
// cases in every run. Test packages import it for its side effect; the flag
// -rapid.seed still overrides the seed.
package fixedseed

import (
	"flag"

	// Defines the flag -rapid.seed.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // cannot happen: the library defines the flag
	}
}
