// Package fixedseed sets a fixed seed for the randomised tests of a package, so
// that every run of CI has the same result. Tests import it only for this side
// effect; a long run overrides the defaults with -rapid.seed and -rapid.checks.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // Registers the flags whose values init sets.
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("set -%s: %v", name, err))
		}
	}
}
