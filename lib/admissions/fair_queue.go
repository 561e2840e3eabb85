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
	usageTimeConstantSeconds = 10.0
	// offeredSeconds is the time constant of the average work that an organisation
	// sends. Work sent, unlike work waiting, doesn't grow while an organisation is
	// limited, so one that is taken for a flood because of a burst recovers.
	offeredTimeConstantSeconds = 20.0
	// floodFactor is how many times its fair share of the slots an organisation
	// sends work for, and demands at the moment, before it is limited.
	floodFactor = 2.0
	// usageDeviations is how many standard deviations of the others' use stay free.
	// The use of a load that arrives at random has the square root of its mean as
	// its standard deviation. In windows of two minutes 1.0 slowed the others' p95
	// down up to 1.65 times, which is more than the promised 1.5.
	reservedDeviations = 1.5
	// usageLeast is the average use below which an organisation counts as absent.
	minActiveUsage = 1e-3
)

type (
	// flows is a weighted fair queue over organisations, by start-time fair
	// queueing: each organisation has a virtual time that grows with the service
	// time it has been given, divided by its weight, and the one that is furthest
	// behind is next. Round robin was rejected because it counts requests, so that
	// an organisation with long requests takes most of the service time.
	fairQueue struct {
		byName           map[string]*flow
		backlogged       []*flow // The flows with waiting requests.
		virtualTime      float64 // Virtual time of the request that started last.
		waitingCount     int
		waitingBytes     int64
		waitingSeconds   float64 // Expected service time of everything that waits.
		backloggedWeight float64 // Of the flows in backlog.
	}

	// flow is the queue of one organisation. Priorities order the requests within
	// it, so no organisation gains from them at the cost of another.
	flow struct {
		name                  string
		weight                float64
		maxInFlight           int
		limiter               *rate.Limiter
		waiting               attemptHeap
		running               int
		waitingSeconds        [maxPriority + 1]float64 // Expected service time waiting, by priority.
		startTag              float64                  // Virtual time at which the next request starts.
		backlogIndex          int                      // In flows.backlog, or -1.
		runningSeconds        float64                  // Expected service time running.
		averageUsedSlots      float64                  // Average number of slots in use.
		averageOfferedSlots   float64                  // Average number of slots that the work sent would use.
		averageServiceSeconds float64                  // Average service time of a request.
		averagesUpdatedAt     time.Time                // When the averages were brought up to date.
	}

	attemptHeap []*attempt
)

func newFairQueue() fairQueue {
	return fairQueue{byName: map[string]*flow{}}
}

// of returns the organisation's flow with its limits as configured now.
func (queue *fairQueue) flowFor(organisation configurations.Organisation) *flow {
	found := queue.byName[organisation.Name]
	if found == nil {
		found = &flow{name: organisation.Name, backlogIndex: -1, limiter: rate.NewLimiter(rate.Inf, 1)}
		queue.byName[organisation.Name] = found
	}
	weight := max(organisation.Weight, minWeight)
	if found.backlogIndex >= 0 {
		queue.backloggedWeight += weight - found.weight
	}
	found.weight = weight
	found.maxInFlight = organisation.InFlight
	found.setRate(organisation.RequestsPerSecond)
	return found
}

func (flow *flow) setRate(perSecond float64) {
	limit, burst := rate.Inf, 1
	if perSecond > 0 {
		// A burst of one second lets an entry send what it has saved up.
		limit, burst = rate.Limit(perSecond), int(math.Ceil(perSecond))
	}
	if flow.limiter.Limit() != limit {
		flow.limiter = rate.NewLimiter(limit, burst)
	}
}

// prune forgets idle flows of organisations that are no longer configured.
func (queue *fairQueue) prune(snapshot configurations.Snapshot) {
	for name, idle := range queue.byName {
		if _, _, configured := configurations.Lookup[configurations.Organisation](snapshot, name); configured {
			continue
		}
		if idle.running == 0 && len(idle.waiting) == 0 {
			delete(queue.byName, name)
		}
	}
}

func (queue *fairQueue) push(now time.Time, added *attempt) {
	owner := added.flow
	owner.updateAverages(now)
	if owner.backlogIndex < 0 {
		owner.backlogIndex = len(queue.backlogged)
		queue.backlogged = append(queue.backlogged, owner)
		queue.backloggedWeight += owner.weight
		owner.startTag = max(owner.startTag, queue.virtualTime)
	}
	heap.Push(&owner.waiting, added)
	queue.adjustWaiting(added, 1)
}

func (queue *fairQueue) adjustWaiting(changed *attempt, sign int) {
	queue.waitingCount += sign
	queue.waitingBytes += int64(sign) * int64(len(changed.request.Body))
	queue.waitingSeconds += float64(sign) * changed.expectedSeconds
	changed.flow.waitingSeconds[changed.request.Priority] += float64(sign) * changed.expectedSeconds
}

// pop removes the attempt that runs next and charges its organisation with the
// expected service time. It returns nil where nothing waits that may start.
func (queue *fairQueue) pop(now time.Time, slots int) *attempt {
	var chosen *flow
	for _, candidate := range queue.backlogged {
		if (chosen == nil || candidate.startTag < chosen.startTag) && queue.mayStart(now, candidate, slots) {
			chosen = candidate
		}
	}
	if chosen == nil {
		return nil
	}
	next := chosen.waiting[0]
	queue.virtualTime = chosen.startTag
	queue.remove(now, next)
	chosen.startTag += next.expectedSeconds / chosen.weight
	return next
}

// allows reports whether the flow may take one more slot. Those that demand a
// multiple of their fair share leave free, beyond their common share, what the
// others use, with a margin, because a request that runs is not interrupted:
// without this, a flood of long requests holds every slot and each other request
// waits for the end of one of them.
func (queue *fairQueue) mayStart(now time.Time, requester *flow, slots int) bool {
	if requester.running == 0 || requester.averageOfferedSlots <= floodFactor {
		return true
	}
	weights := queue.activeWeight(now)
	if !requester.isFlooding(slots, weights) {
		return true
	}
	used, flooding, running := 0.0, 0.0, 0
	for _, each := range queue.byName {
		if each.isFlooding(slots, weights) {
			flooding += each.weight
			running += each.running
		} else {
			used += each.averageUsedSlots
		}
	}
	free := slots - int(math.Ceil(used+reservedDeviations*math.Sqrt(used)))
	fair := int(float64(slots) * flooding / weights)
	return running < max(free, fair)
}

// activeWeights brings all averages up to the moment and returns the weights of
// the organisations that use the backend server.
func (queue *fairQueue) activeWeight(now time.Time) float64 {
	weights := 0.0
	for _, each := range queue.byName {
		each.updateAverages(now)
		if each.averageUsedSlots >= minActiveUsage || each.outstandingRequests() > 0 {
			weights += each.weight
		}
	}
	return weights
}

func (flow *flow) isFlooding(slots int, weights float64) bool {
	threshold := floodFactor * max(float64(slots)*flow.weight/weights, 1)
	return flow.averageOfferedSlots > threshold && float64(flow.outstandingRequests()) > threshold
}

// offer counts work that has been sent, whether it is admitted or not.
func (flow *flow) recordOffered(now time.Time, seconds float64) {
	flow.updateAverages(now)
	flow.averageOfferedSlots += seconds / offeredTimeConstantSeconds
	if flow.averageServiceSeconds == 0 {
		flow.averageServiceSeconds = seconds
	}
	flow.averageServiceSeconds = movingAverage(flow.averageServiceSeconds, seconds)
}

// work returns the expected service time of everything that the flow has waiting
// and running.
func (flow *flow) outstandingSeconds() float64 {
	total := flow.runningSeconds
	for _, seconds := range flow.waitingSeconds {
		total += seconds
	}
	return total
}

func (flow *flow) outstandingRequests() int {
	return flow.running + len(flow.waiting)
}

// observe brings the average up to the moment. It is called before each change
// of the flow's use.
func (flow *flow) updateAverages(now time.Time) {
	passed := now.Sub(flow.averagesUpdatedAt).Seconds()
	flow.averagesUpdatedAt = now
	kept := math.Exp(-passed / usageTimeConstantSeconds)
	flow.averageUsedSlots = flow.averageUsedSlots*kept + float64(flow.running)*(1-kept)
	flow.averageOfferedSlots *= math.Exp(-passed / offeredTimeConstantSeconds)
}

// occupy counts a slot taken or given back by the flow, with the expected service
// time of its request.
func (flow *flow) adjustRunning(now time.Time, slots int, seconds float64) {
	flow.updateAverages(now)
	flow.running += slots
	flow.runningSeconds += float64(slots) * seconds
	if flow.running == 0 {
		flow.runningSeconds = 0 // Sums of floats don't return to zero by themselves.
	}
}

// settle replaces the expected service time by the measured one.
func (queue *fairQueue) correctCharge(ended *attempt, seconds float64) {
	ended.flow.startTag += (seconds - ended.expectedSeconds) / ended.flow.weight
}

func (queue *fairQueue) remove(now time.Time, removed *attempt) {
	owner := removed.flow
	owner.updateAverages(now)
	heap.Remove(&owner.waiting, removed.heapIndex)
	queue.adjustWaiting(removed, -1)
	if len(owner.waiting) > 0 {
		return
	}
	owner.waitingSeconds = [maxPriority + 1]float64{} // Sums of floats don't return to zero by themselves.
	last := len(queue.backlogged) - 1
	queue.backlogged[owner.backlogIndex] = queue.backlogged[last]
	queue.backlogged[owner.backlogIndex].backlogIndex = owner.backlogIndex
	queue.backlogged[last] = nil
	queue.backlogged = queue.backlogged[:last]
	owner.backlogIndex = -1
	queue.backloggedWeight -= owner.weight
	if last == 0 {
		queue.backloggedWeight, queue.waitingSeconds = 0, 0
	}
}

// wait predicts in seconds how long a new request of the flow would wait when
// all slots are busy. The flow gets at least its share of the service, and no
// request waits longer than everything before it takes.
func (queue *fairQueue) predictWait(owner *flow, priority, slots int, service float64) float64 {
	ahead := 0.0
	for _, seconds := range owner.waitingSeconds[priority:] {
		ahead += seconds
	}
	weights := queue.backloggedWeight
	if owner.backlogIndex < 0 {
		weights += owner.weight
	}
	fair := ahead * weights / owner.weight
	return (min(fair, queue.waitingSeconds) + service) / float64(slots)
}

// victim returns the attempt to push out of a full queue in favour of one of
// the flow: the last of the organisation that demands the most service in
// relation to its weight. It returns nil where that is the flow itself.
func (queue *fairQueue) evictionCandidate(owner *flow) *attempt {
	longest := owner
	for _, candidate := range queue.backlogged {
		if candidate.outstandingSeconds()/candidate.weight > longest.outstandingSeconds()/longest.weight {
			longest = candidate
		}
	}
	if longest == owner {
		return nil
	}
	last := longest.waiting[0]
	for _, candidate := range longest.waiting {
		if last.runsBefore(candidate) {
			last = candidate
		}
	}
	return last
}

// before reports whether the attempt runs before another of its flow.
func (attempt *attempt) runsBefore(other *attempt) bool {
	if attempt.request.Priority != other.request.Priority {
		return attempt.request.Priority > other.request.Priority
	}
	return attempt.arrivalNumber < other.arrivalNumber
}

// Len implements heap.Interface.
func (list attemptHeap) Len() int { return len(list) }

// Less implements heap.Interface.
func (list attemptHeap) Less(i, j int) bool { return list[i].runsBefore(list[j]) }

// Swap implements heap.Interface.
func (list attemptHeap) Swap(i, j int) {
	list[i], list[j] = list[j], list[i]
	list[i].heapIndex = i
	list[j].heapIndex = j
}

// Push implements heap.Interface.
func (list *attemptHeap) Push(added any) {
	pushed := added.(*attempt)
	pushed.heapIndex = len(*list)
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
