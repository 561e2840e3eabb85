//go:build race

package configurations

// nodesUnderFaults is smaller under the race detector, which slows the
// simulation of full size to minutes.
const nodesUnderFaults = 300
