//go:build !race

package configurations

const nodesUnderFaults = 1290
