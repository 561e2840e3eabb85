//go:build race

package configurations

// nodesUnderFaults is reduced under the race detector, with which a simulation of
// the full fleet takes minutes.
const nodesUnderFaults = 300
