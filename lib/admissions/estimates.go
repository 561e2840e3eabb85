package admissions

// Admission refuses requests that can't meet their deadline, which requires an
// estimate of the service time. Fixed times in the settings were rejected because
// they are wrong after each change of model, load or hardware; the agent measures
// instead.

// Estimates before the first measurement. They are optimistic, so that a new agent
// admits requests and can measure them.
const (
	initialFirstTokenSeconds = 0.05
	initialTokenSeconds      = 0.009
	initialCallSeconds       = 0.01
	smoothingFactor          = 1.0 / 16 // Weight of one measurement in the moving averages.
)

// estimates holds moving averages of measured service times. It is immutable.
type estimates struct {
	firstTokenSeconds float64 // From sending the request to its first token.
	tokenSeconds      float64 // Per token after the first.
	callSeconds       float64 // Per call to a plain service.
	requestSeconds    float64 // Per request of any kind.
	lengthRatio       float64 // Tokens in an answer divided by the tokens requested.
}

func newEstimates() estimates {
	return estimates{firstTokenSeconds: initialFirstTokenSeconds, tokenSeconds: initialTokenSeconds, callSeconds: initialCallSeconds, requestSeconds: initialFirstTokenSeconds, lengthRatio: 1}
}

// WithGeneration returns the estimates after a complete generation. The times are
// in seconds; tokens is the length of the answer, and requested the maximum that
// the request allowed.
func (current estimates) WithGeneration(first, total float64, tokens, requested int) estimates {
	current.firstTokenSeconds = movingAverage(current.firstTokenSeconds, first)
	if tokens > 1 {
		current.tokenSeconds = movingAverage(current.tokenSeconds, (total-first)/float64(tokens-1))
	}
	current.lengthRatio = movingAverage(current.lengthRatio, float64(tokens)/float64(max(requested, tokens, 1)))
	current.requestSeconds = movingAverage(current.requestSeconds, total)
	return current
}

// WithCall returns the estimates after a call that took total seconds.
func (current estimates) WithCall(total float64) estimates {
	current.callSeconds = movingAverage(current.callSeconds, total)
	current.requestSeconds = movingAverage(current.requestSeconds, total)
	return current
}

func movingAverage(current, measured float64) float64 {
	return current + (measured-current)*smoothingFactor
}

// serviceSeconds returns the expected service time of a job.
func (current estimates) serviceSeconds(job job) float64 {
	switch job := job.(type) {
	case generation:
		expected := float64(job.maxTokens-job.resumeAfter)*current.lengthRatio - 1
		return current.firstTokenSeconds + current.tokenSeconds*max(expected, 0)
	case call:
		return current.callSeconds
	default:
		return current.requestSeconds
	}
}
