package admissions

// Times before the first measurement, in seconds. They are optimistic, so that
// a new agent accepts work and learns.
const (
	initialFirst  = 0.05
	initialToken  = 0.009
	initialCall   = 0.01
	estimateShare = 1.0 / 16 // Weight of one measurement in the moving averages.
)

// estimates predicts service times in seconds from measured ones. It is
// immutable. Fixed times in the settings were rejected: they are wrong after
// each change of model, load or hardware.
type estimates struct {
	first   float64 // Until the first token.
	token   float64 // For each further token.
	call    float64 // A call to a plain service.
	service float64 // Any request as a whole.
	length  float64 // Share of the tokens asked for that answers have.
}

func newEstimates() estimates {
	return estimates{first: initialFirst, token: initialToken, call: initialCall, service: initialFirst, length: 1}
}

// WithGeneration returns the estimates after a whole answer of the tokens to a
// request for at most the asked ones.
func (known estimates) WithGeneration(first, total float64, tokens, asked int) estimates {
	known.first = average(known.first, first)
	if tokens > 1 {
		known.token = average(known.token, (total-first)/float64(tokens-1))
	}
	known.length = average(known.length, float64(tokens)/float64(max(asked, tokens, 1)))
	known.service = average(known.service, total)
	return known
}

// WithCall returns the estimates after an answered call.
func (known estimates) WithCall(total float64) estimates {
	known.call = average(known.call, total)
	known.service = average(known.service, total)
	return known
}

func average(known, measured float64) float64 {
	return known + (measured-known)*estimateShare
}

// of returns the expected service time of a job.
func (known estimates) of(work job) float64 {
	switch work := work.(type) {
	case generation:
		expected := float64(work.maxTokens-work.after)*known.length - 1
		return known.first + known.token*max(expected, 0)
	case call:
		return known.call
	default:
		return known.service
	}
}
