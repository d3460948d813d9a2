// Package fixedseed makes property tests draw the same cases in every run. Test
// packages import it for its effect; the flag -rapid.seed still overrides it.
package fixedseed

import (
	"flag"

	// Defines the flag.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the library defines the flag
	}
}
