package admissions

// Times before the first measurement, in seconds. They are optimistic, so that
// a new agent accepts work and learns.
const (
	initialFirstTokenSeconds = 0.05
	initialTokenSeconds      = 0.009
	initialCallSeconds       = 0.01
	smoothingFactor          = 1.0 / 16 // Weight of one measurement in the moving averages.
)

// estimates predicts service times in seconds from measured ones. It is
// immutable. Fixed times in the settings were rejected: they are wrong after
// each change of model, load or hardware.
type estimates struct {
	firstTokenSeconds float64 // Until the first token.
	tokenSeconds      float64 // For each further token.
	callSeconds       float64 // A call to a plain service.
	requestSeconds    float64 // Any request as a whole.
	lengthRatio       float64 // Share of the tokens asked for that answers have.
}

func newEstimates() estimates {
	return estimates{firstTokenSeconds: initialFirstTokenSeconds, tokenSeconds: initialTokenSeconds, callSeconds: initialCallSeconds, requestSeconds: initialFirstTokenSeconds, lengthRatio: 1}
}

// WithGeneration returns the estimates after a whole answer of the tokens to a
// request for at most the asked ones.
func (current estimates) WithGeneration(first, total float64, tokens, requested int) estimates {
	current.firstTokenSeconds = movingAverage(current.firstTokenSeconds, first)
	if tokens > 1 {
		current.tokenSeconds = movingAverage(current.tokenSeconds, (total-first)/float64(tokens-1))
	}
	current.lengthRatio = movingAverage(current.lengthRatio, float64(tokens)/float64(max(requested, tokens, 1)))
	current.requestSeconds = movingAverage(current.requestSeconds, total)
	return current
}

// WithCall returns the estimates after an answered call.
func (current estimates) WithCall(total float64) estimates {
	current.callSeconds = movingAverage(current.callSeconds, total)
	current.requestSeconds = movingAverage(current.requestSeconds, total)
	return current
}

func movingAverage(current, measured float64) float64 {
	return current + (measured-current)*smoothingFactor
}

// of returns the expected service time of a job.
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
