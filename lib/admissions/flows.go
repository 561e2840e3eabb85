package admissions

import (
	"container/heap"
	"math"
	"time"

	"golang.org/x/time/rate"

	"firford/lib/configurations"
)

const (
	minWeight = 1e-3

	// usageSeconds is the time constant of the average use of an organisation.
	usageSeconds = 10.0
	// offeredSeconds is the time constant of the average work that an organisation
	// sends. Work sent, unlike work waiting, doesn't grow while an organisation is
	// limited, so one that is taken for a flood because of a burst recovers.
	offeredSeconds = 20.0
	// floodFactor is how many times its fair share of the slots an organisation
	// sends work for, and demands at the moment, before it is limited.
	floodFactor = 2.0
	// usageDeviations is how many standard deviations of the others' use stay free.
	// The use of a load that arrives at random has the square root of its mean as
	// its standard deviation. In windows of two minutes 1.0 slowed the others' p95
	// down up to 1.65 times, which is more than the promised 1.5.
	usageDeviations = 1.5
	// usageLeast is the average use below which an organisation counts as absent.
	usageLeast = 1e-3
)

type (
	// flows is a weighted fair queue over organisations, by start-time fair
	// queueing: each organisation has a virtual time that grows with the service
	// time it has been given, divided by its weight, and the one that is furthest
	// behind is next. Round robin was rejected because it counts requests, so that
	// an organisation with long requests takes most of the service time.
	flows struct {
		byName  map[string]*flow
		backlog []*flow // The flows with waiting requests.
		virtual float64 // Virtual time of the request that started last.
		waiting int
		bytes   int64
		seconds float64 // Expected service time of everything that waits.
		weights float64 // Of the flows in backlog.
	}

	// flow is the queue of one organisation. Priorities order the requests within
	// it, so no organisation gains from them at the cost of another.
	flow struct {
		name     string
		weight   float64
		inFlight int
		limiter  *rate.Limiter
		waiting  attemptHeap
		running  int
		seconds  [maxPriority + 1]float64 // Expected service time waiting, by priority.
		start    float64                  // Virtual time at which the next request starts.
		position int                      // In flows.backlog, or -1.
		busy     float64                  // Expected service time running.
		used     float64                  // Average number of slots in use.
		offered  float64                  // Average number of slots that the work sent would use.
		typical  float64                  // Average service time of a request.
		observed time.Time                // When the averages were brought up to date.
	}

	attemptHeap []*attempt
)

func newFlows() flows {
	return flows{byName: map[string]*flow{}}
}

// of returns the organisation's flow with its limits as configured now.
func (all *flows) of(organisation configurations.Organisation) *flow {
	known := all.byName[organisation.Name]
	if known == nil {
		known = &flow{name: organisation.Name, position: -1, limiter: rate.NewLimiter(rate.Inf, 1)}
		all.byName[organisation.Name] = known
	}
	weight := max(organisation.Weight, minWeight)
	if known.position >= 0 {
		all.weights += weight - known.weight
	}
	known.weight = weight
	known.inFlight = organisation.InFlight
	known.setRate(organisation.RequestsPerSecond)
	return known
}

func (known *flow) setRate(perSecond float64) {
	limit, burst := rate.Inf, 1
	if perSecond > 0 {
		// A burst of one second lets an entry send what it has saved up.
		limit, burst = rate.Limit(perSecond), int(math.Ceil(perSecond))
	}
	if known.limiter.Limit() != limit {
		known.limiter = rate.NewLimiter(limit, burst)
	}
}

// prune forgets idle flows of organisations that are no longer configured.
func (all *flows) prune(snapshot configurations.Snapshot) {
	for name, known := range all.byName {
		if _, _, configured := configurations.Lookup[configurations.Organisation](snapshot, name); configured {
			continue
		}
		if known.running == 0 && len(known.waiting) == 0 {
			delete(all.byName, name)
		}
	}
}

func (all *flows) push(now time.Time, added *attempt) {
	owner := added.flow
	owner.observe(now)
	if owner.position < 0 {
		owner.position = len(all.backlog)
		all.backlog = append(all.backlog, owner)
		all.weights += owner.weight
		owner.start = max(owner.start, all.virtual)
	}
	heap.Push(&owner.waiting, added)
	all.count(added, 1)
}

func (all *flows) count(changed *attempt, sign int) {
	all.waiting += sign
	all.bytes += int64(sign) * int64(len(changed.request.Body))
	all.seconds += float64(sign) * changed.seconds
	changed.flow.seconds[changed.request.Priority] += float64(sign) * changed.seconds
}

// pop removes the attempt that runs next and charges its organisation with the
// expected service time. It returns nil where nothing waits that may start.
func (all *flows) pop(now time.Time, slots int) *attempt {
	var chosen *flow
	for _, candidate := range all.backlog {
		if (chosen == nil || candidate.start < chosen.start) && all.allows(now, candidate, slots) {
			chosen = candidate
		}
	}
	if chosen == nil {
		return nil
	}
	next := chosen.waiting[0]
	all.virtual = chosen.start
	all.remove(now, next)
	chosen.start += next.seconds / chosen.weight
	return next
}

// allows reports whether the flow may take one more slot. Those that demand a
// multiple of their fair share leave free, beyond their common share, what the
// others use, with a margin, because a request that runs is not interrupted:
// without this, a flood of long requests holds every slot and each other request
// waits for the end of one of them.
func (all *flows) allows(now time.Time, owner *flow, slots int) bool {
	if owner.running == 0 || owner.offered <= floodFactor {
		return true
	}
	weights := all.activeWeights(now)
	if !owner.floods(slots, weights) {
		return true
	}
	used, flooding, running := 0.0, 0.0, 0
	for _, each := range all.byName {
		if each.floods(slots, weights) {
			flooding += each.weight
			running += each.running
		} else {
			used += each.used
		}
	}
	free := slots - int(math.Ceil(used+usageDeviations*math.Sqrt(used)))
	fair := int(float64(slots) * flooding / weights)
	return running < max(free, fair)
}

// activeWeights brings all averages up to the moment and returns the weights of
// the organisations that use the backend server.
func (all *flows) activeWeights(now time.Time) float64 {
	weights := 0.0
	for _, each := range all.byName {
		each.observe(now)
		if each.used >= usageLeast || each.demand() > 0 {
			weights += each.weight
		}
	}
	return weights
}

func (known *flow) floods(slots int, weights float64) bool {
	most := floodFactor * max(float64(slots)*known.weight/weights, 1)
	return known.offered > most && float64(known.demand()) > most
}

// offer counts work that has been sent, whether it is admitted or not.
func (known *flow) offer(now time.Time, seconds float64) {
	known.observe(now)
	known.offered += seconds / offeredSeconds
	if known.typical == 0 {
		known.typical = seconds
	}
	known.typical = average(known.typical, seconds)
}

// work returns the expected service time of everything that the flow has waiting
// and running.
func (known *flow) work() float64 {
	total := known.busy
	for _, seconds := range known.seconds {
		total += seconds
	}
	return total
}

func (known *flow) demand() int {
	return known.running + len(known.waiting)
}

// observe brings the average up to the moment. It is called before each change
// of the flow's use.
func (known *flow) observe(now time.Time) {
	passed := now.Sub(known.observed).Seconds()
	known.observed = now
	kept := math.Exp(-passed / usageSeconds)
	known.used = known.used*kept + float64(known.running)*(1-kept)
	known.offered *= math.Exp(-passed / offeredSeconds)
}

// occupy counts a slot taken or given back by the flow, with the expected service
// time of its request.
func (known *flow) occupy(now time.Time, slots int, seconds float64) {
	known.observe(now)
	known.running += slots
	known.busy += float64(slots) * seconds
	if known.running == 0 {
		known.busy = 0 // Sums of floats don't return to zero by themselves.
	}
}

// settle replaces the expected service time by the measured one.
func (all *flows) settle(ended *attempt, seconds float64) {
	ended.flow.start += (seconds - ended.seconds) / ended.flow.weight
}

func (all *flows) remove(now time.Time, removed *attempt) {
	owner := removed.flow
	owner.observe(now)
	heap.Remove(&owner.waiting, removed.position)
	all.count(removed, -1)
	if len(owner.waiting) > 0 {
		return
	}
	owner.seconds = [maxPriority + 1]float64{} // Sums of floats don't return to zero by themselves.
	last := len(all.backlog) - 1
	all.backlog[owner.position] = all.backlog[last]
	all.backlog[owner.position].position = owner.position
	all.backlog[last] = nil
	all.backlog = all.backlog[:last]
	owner.position = -1
	all.weights -= owner.weight
	if last == 0 {
		all.weights, all.seconds = 0, 0
	}
}

// wait predicts in seconds how long a new request of the flow would wait when
// all slots are busy. The flow gets at least its share of the service, and no
// request waits longer than everything before it takes.
func (all *flows) wait(owner *flow, priority, slots int, service float64) float64 {
	ahead := 0.0
	for _, seconds := range owner.seconds[priority:] {
		ahead += seconds
	}
	weights := all.weights
	if owner.position < 0 {
		weights += owner.weight
	}
	fair := ahead * weights / owner.weight
	return (min(fair, all.seconds) + service) / float64(slots)
}

// victim returns the attempt to push out of a full queue in favour of one of
// the flow: the last of the organisation that demands the most service in
// relation to its weight. It returns nil where that is the flow itself.
func (all *flows) victim(owner *flow) *attempt {
	longest := owner
	for _, candidate := range all.backlog {
		if candidate.work()/candidate.weight > longest.work()/longest.weight {
			longest = candidate
		}
	}
	if longest == owner {
		return nil
	}
	last := longest.waiting[0]
	for _, candidate := range longest.waiting {
		if last.before(candidate) {
			last = candidate
		}
	}
	return last
}

// before reports whether the attempt runs before another of its flow.
func (added *attempt) before(other *attempt) bool {
	if added.request.Priority != other.request.Priority {
		return added.request.Priority > other.request.Priority
	}
	return added.arrival < other.arrival
}

// Len implements heap.Interface.
func (list attemptHeap) Len() int { return len(list) }

// Less implements heap.Interface.
func (list attemptHeap) Less(i, j int) bool { return list[i].before(list[j]) }

// Swap implements heap.Interface.
func (list attemptHeap) Swap(i, j int) {
	list[i], list[j] = list[j], list[i]
	list[i].position = i
	list[j].position = j
}

// Push implements heap.Interface.
func (list *attemptHeap) Push(added any) {
	pushed := added.(*attempt)
	pushed.position = len(*list)
	*list = append(*list, pushed)
}

// Pop implements heap.Interface.
func (list *attemptHeap) Pop() any {
	last := len(*list) - 1
	popped := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return popped
}
