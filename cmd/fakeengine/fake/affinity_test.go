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
	poolEngines  = 12
	poolSteps    = 2000 // 18 s at 9 ms.
	answerTokens = 50
	stepMS       = 9
	prefixBlocks = 128
)

type (
	// chooser picks the engine of a request.
	chooser func(pool []*Engine, prefix int, random *rand.Rand) *Engine

	// pending is a request whose first token is not there yet.
	pending struct {
		running *sequence
		sent    int
	}

	measured struct {
		first  []float64 // Milliseconds until the first token.
		cached float64   // Share of the prompt blocks that were cached.
	}
)

func load(engine *Engine) int { return len(engine.active) + len(engine.waiting) }

// twoChoices ignores the prefix.
func twoChoices(pool []*Engine, _ int, random *rand.Rand) *Engine {
	first, second := pool[random.IntN(len(pool))], pool[random.IntN(len(pool))]
	if load(second) < load(first) {
		return second
	}
	return first
}

// affinity sends a prefix to its engine, or to the next one whose load is at
// most a quarter above the average.
func affinity(pool []*Engine, prefix int, _ *rand.Rand) *Engine {
	total := 0
	for _, engine := range pool {
		total += load(engine)
	}
	bound := math.Ceil(1.25 * float64(total+1) / float64(len(pool)))
	for offset := range pool {
		candidate := pool[(prefix*7+offset)%len(pool)]
		if float64(load(candidate)) < bound {
			return candidate
		}
	}
	return pool[prefix%len(pool)]
}

// simulate sends requests with shared prefixes to a pool, step by step, without
// clocks or goroutines.
func simulate(choose chooser, prefixes int, share float64) measured {
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
	perStep := share * poolEngines * float64(pool[0].settings.Slots) / answerTokens
	var result measured
	var open []pending
	missing, sent := 0, 0
	for step := range poolSteps {
		for due := random.ExpFloat64(); due < perStep; due += random.ExpFloat64() {
			prefix := int(popular.Uint64())
			prompt := strings.Repeat(fmt.Sprintf("%08d", prefix), prefixBlocks*blockBytes/8) + fmt.Sprint(sent)
			running, _ := choose(pool, prefix, random).submit(generateRequest{RequestID: "r", Prompt: prompt, MaxTokens: answerTokens})
			missing += running.prefill - 1
			sent++
			open = append(open, pending{running: running, sent: step})
		}
		for _, engine := range pool {
			engine.step()
		}
		open = slices.DeleteFunc(open, func(each pending) bool {
			if each.running.done > 0 {
				result.first = append(result.first, float64((step-each.sent+1)*stepMS))
			}
			return each.running.done > 0
		})
	}
	slices.Sort(result.first)
	result.cached = 1 - float64(missing)/float64(sent*prefixBlocks)
	return result
}

// Guards the decision on prefix affinity: the table shows when sending the same
// prefix to the same engine helps.
func TestPrefixAffinity(t *testing.T) {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "prefixes\tslots used\trouting\tcached\tfirst token p50\tp95")
	cached := map[string]float64{}
	for _, prefixes := range []int{4, 64, 1024} {
		for _, share := range []float64{0.6} {
			for _, way := range []struct {
				name   string
				choose chooser
			}{{"two choices", twoChoices}, {"affinity", affinity}} {
				got := simulate(way.choose, prefixes, share)
				at := func(share float64) float64 { return got.first[int(share*float64(len(got.first)))] }
				fmt.Fprintf(table, "%d\t%.0f%%\t%s\t%.0f%%\t%.0f ms\t%.0f ms\n", prefixes, share*100, way.name, got.cached*100, at(0.5), at(0.95))
				cached[way.name] += got.cached
			}
		}
	}
	_ = table.Flush()
	goldie.New(t).Assert(t, "affinity", []byte(text.String()))
	convey.Convey("A repeated prefix is found in the cache of its engine", t, func() {
		convey.So(cached["affinity"], convey.ShouldBeGreaterThan, cached["two choices"])
	})
}
