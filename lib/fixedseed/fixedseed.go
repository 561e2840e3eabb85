// Package fixedseed gives the randomised tests of a package a fixed seed, so
// that every run of CI reaches the same verdict. Tests import it for its effect
// alone; a long run overrides it with -rapid.seed and -rapid.checks.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // Registers the flags that init sets.
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("set -%s: %v", name, err))
		}
	}
}
