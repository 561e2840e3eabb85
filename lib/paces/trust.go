package paces

// A server may state a pace that has nothing to do with its host. Predictions with the pace
// are therefore compared with those without it, and it counts only while it improves them.

import (
	"math"
	"time"
)

const (
	// initialGain is the gain that is assumed before anything was compared. Two predictions
	// that are much worse with the pace end the trust.
	initialGain = 0.3
	// minGain is the gain above which the pace counts. A pace that says nothing has gains
	// around zero by chance.
	minGain = 0.1
	// serverWeight and serviceWeight are the weights of the newest comparison at a server and
	// at a service, which has many more of them.
	serverWeight  = 0.25
	serviceWeight = 0.05
	// maxGain bounds a gain, so that one answer that came very late does not decide.
	maxGain = 1.0
	// minFactor is the factor below which a comparison says nothing about the pace.
	minFactor = 1.1
)

type (
	// Comparison compares how long work took with what was predicted without the pace, as the
	// logarithms of the ratio and of the factor of the pace.
	Comparison struct{ ratio, factor float64 }

	// Trust is whether predictions improve with the pace of a server. It is immutable. The
	// zero value trusts.
	Trust struct {
		// offset is the smoothed gain, as the difference from initialGain.
		offset float64
	}

	// ServiceTrust is whether predictions improve with the paces of the servers of a service.
	// It is immutable. The zero value trusts.
	ServiceTrust struct {
		trust Trust
		// bias is the smoothed ratio of work at the usual pace. Predictions don't see what
		// other entries have just sent, so work takes longer at any pace.
		bias float64
	}
)

// Compare compares work that took this long and was predicted to take the usual time, or that
// times the factor of the pace.
func Compare(usual time.Duration, factor float64, actual time.Duration) Comparison {
	if usual <= 0 || actual <= 0 {
		return Comparison{}
	}
	return Comparison{ratio: math.Log(float64(actual) / float64(usual)), factor: math.Log(max(1, factor))}
}

func (comparison Comparison) isUsual() bool { return comparison.factor < math.Log(minFactor) }

// gain returns by how much the pace improved the prediction, given the usual ratio.
func (comparison Comparison) gain(bias float64) float64 {
	ratio := comparison.ratio - bias
	gain := math.Abs(ratio) - math.Abs(ratio-comparison.factor)
	return min(max(gain, -maxGain), maxGain)
}

// IsGiven reports whether the pace counts.
func (trust Trust) IsGiven() bool { return initialGain+trust.offset > minGain }

// With returns the trust in a server after the comparison, given the trust in its service.
func (trust Trust) With(comparison Comparison, service ServiceTrust) Trust {
	return trust.with(comparison, service.bias, serverWeight)
}

func (trust Trust) with(comparison Comparison, bias, weight float64) Trust {
	if !comparison.isUsual() {
		trust.offset += weight * (comparison.gain(bias) - initialGain - trust.offset)
	}
	return trust
}

// IsGiven reports whether the paces count.
func (service ServiceTrust) IsGiven() bool { return service.trust.IsGiven() }

// With returns the trust in the servers of a service after the comparison.
func (service ServiceTrust) With(comparison Comparison) ServiceTrust {
	if comparison.isUsual() {
		service.bias += serviceWeight * (comparison.ratio - service.bias)
		return service
	}
	service.trust = service.trust.with(comparison, service.bias, serviceWeight)
	return service
}
