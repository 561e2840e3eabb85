package fake

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"firford/lib/invariants"
)

const (
	poolEngines    = 12
	simulatedSteps = 2000 // 18 s at 9 ms.
	answerTokens   = 50
	stepMS         = 9
	prefixBlocks   = 128
)

type (
	// policy selects the engine of a request.
	policy func(pool []*Engine, prefix int, random *rand.Rand) *Engine

	// pendingRequest is a request that has no token yet.
	pendingRequest struct {
		running *sequence
		sentAt  int // Step in which it was sent.
	}

	result struct {
		firstTokenMS []float64 // Time to the first token of each request, ascending.
		cached       float64   // Share of the prompt blocks that were cached.
	}
)

func engineLoad(engine *Engine) int { return len(engine.active) + len(engine.waiting) }

// twoChoices selects the less loaded of two random engines and ignores the prefix.
func twoChoices(pool []*Engine, _ int, random *rand.Rand) *Engine {
	first, second := pool[random.IntN(len(pool))], pool[random.IntN(len(pool))]
	if engineLoad(second) < engineLoad(first) {
		return second
	}
	return first
}

// affinity selects the engine of the prefix, or the next one whose load is at
// most a quarter above the average.
func affinity(pool []*Engine, prefix int, _ *rand.Rand) *Engine {
	total := 0
	for _, engine := range pool {
		total += engineLoad(engine)
	}
	bound := math.Ceil(1.25 * float64(total+1) / float64(len(pool)))
	for offset := range pool {
		candidate := pool[(prefix*7+offset)%len(pool)]
		if float64(engineLoad(candidate)) < bound {
			return candidate
		}
	}
	return pool[prefix%len(pool)]
}

// simulate sends requests with shared prefixes to a pool of engines. It calls
// their steps itself, so that the result depends on neither clocks nor goroutines.
func simulate(choose policy, prefixes int, utilisation float64) result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	checker := invariants.NewForTest(func(name invariants.Name) { panic(name) })
	pool := make([]*Engine, poolEngines)
	for i := range pool {
		settings := DefaultSettings()
		settings.Queue = 1 << 16
		pool[i] = newEngine(ctx, settings, journal{}, zap.NewNop(), checker)
	}
	random := rand.New(rand.NewPCG(1, 2))
	popular := rand.NewZipf(random, 1.1, 1, uint64(prefixes-1))
	requestsPerStep := utilisation * poolEngines * float64(pool[0].settings.Slots) / answerTokens
	var measured result
	var open []pendingRequest
	missing, sent := 0, 0
	for step := range simulatedSteps {
		for due := random.ExpFloat64(); due < requestsPerStep; due += random.ExpFloat64() {
			prefix := int(popular.Uint64())
			prompt := strings.Repeat(fmt.Sprintf("%08d", prefix), prefixBlocks*blockBytes/8) + fmt.Sprint(sent)
			running, _ := choose(pool, prefix, random).submit(generateRequest{RequestID: "r", Prompt: prompt, MaxTokens: answerTokens})
			missing += running.prefill - 1
			sent++
			open = append(open, pendingRequest{running: running, sentAt: step})
		}
		for _, engine := range pool {
			engine.step()
		}
		open = slices.DeleteFunc(open, func(request pendingRequest) bool {
			if request.running.done > 0 {
				measured.firstTokenMS = append(measured.firstTokenMS, float64((step-request.sentAt+1)*stepMS))
			}
			return request.running.done > 0
		})
	}
	slices.Sort(measured.firstTokenMS)
	measured.cached = 1 - float64(missing)/float64(sent*prefixBlocks)
	return measured
}

// Guards the decision on prefix affinity: the table shows for which numbers of
// prefixes it pays to send the same prefix to the same engine.
func TestPrefixAffinity(t *testing.T) {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "prefixes\tslots used\trouting\tcached\tfirst token p50\tp95")
	cached := map[string]float64{}
	for _, prefixes := range []int{4, 64, 1024} {
		for _, utilisation := range []float64{0.6} {
			for _, routing := range []struct {
				name   string
				choose policy
			}{{"two choices", twoChoices}, {"affinity", affinity}} {
				got := simulate(routing.choose, prefixes, utilisation)
				percentile := func(share float64) float64 { return got.firstTokenMS[int(share*float64(len(got.firstTokenMS)))] }
				fmt.Fprintf(table, "%d\t%.0f%%\t%s\t%.0f%%\t%.0f ms\t%.0f ms\n", prefixes, utilisation*100, routing.name, got.cached*100, percentile(0.5), percentile(0.95))
				cached[routing.name] += got.cached
			}
		}
	}
	_ = table.Flush()
	goldie.New(t).Assert(t, "affinity", []byte(text.String()))
	convey.Convey("A repeated prefix is found in the cache of its engine", t, func() {
		convey.So(cached["affinity"], convey.ShouldBeGreaterThan, cached["two choices"])
	})
}
