//go:build !race

package configurations

// nodesUnderFaults is the size of the full fleet.
const nodesUnderFaults = 1290
