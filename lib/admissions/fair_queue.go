package admissions

import (
	"container/heap"
	"math"
	"time"

	"golang.org/x/time/rate"

	"firford/lib/configurations"
)

// One organisation's flood of requests must not slow down the requests of others.
// Waiting requests are therefore ordered by weighted fair queueing, and an
// organisation that floods the backend server must also leave slots free for the
// others, because running requests are not preempted.

const (
	minWeight = 1e-3

	// usageTimeConstantSeconds is the time constant of the moving average of the
	// slots that an organisation uses.
	usageTimeConstantSeconds = 10.0
	// offeredTimeConstantSeconds is the time constant of the moving average of the
	// offered load, the work that an organisation sends. Unlike the work that waits,
	// it doesn't grow while the organisation is limited, so an organisation that was
	// taken for a flood because of a burst recovers.
	offeredTimeConstantSeconds = 20.0
	// floodFactor is the multiple of its fair share of the slots above which an
	// organisation is limited. Both its offered load and its present number of
	// outstanding requests must be above it.
	floodFactor = 2.0
	// reservedDeviations is the number of standard deviations above the mean that is
	// reserved for the slots used by other organisations. With random arrivals the
	// standard deviation of the use is the square root of its mean. With 1.0, the
	// p95 of the others grew up to 1.65 times in windows of two minutes, which
	// exceeds the limit of 1.5.
	reservedDeviations = 1.5
	// minActiveUsage is the average number of used slots below which an organisation
	// without outstanding requests counts as inactive.
	minActiveUsage = 1e-3
)

type (
	// fairQueue is a weighted fair queue over organisations that uses start-time fair
	// queueing (SFQ). The start tag of each organisation grows with the service time
	// it has received divided by its weight, and the organisation with the lowest
	// start tag is served next. Round robin was rejected because it counts requests,
	// so an organisation with long requests would take most of the service time.
	fairQueue struct {
		byName           map[string]*flow
		backlogged       []*flow // The flows with waiting requests.
		virtualTime      float64 // Start tag of the request that started last.
		waitingCount     int
		waitingBytes     int64
		waitingSeconds   float64 // Expected service time of all waiting requests.
		backloggedWeight float64 // Total weight of the backlogged flows.
	}

	// flow is the queue of one organisation. Priorities order requests only within a
	// flow, so an organisation can't use them to gain over another.
	flow struct {
		name                  string
		weight                float64
		maxInFlight           int
		limiter               *rate.Limiter
		waiting               attemptHeap
		running               int
		waitingSeconds        [maxPriority + 1]float64 // Expected service time of the waiting requests, by priority.
		startTag              float64                  // SFQ start tag of the next request.
		backlogIndex          int                      // In fairQueue.backlogged, or -1.
		runningSeconds        float64                  // Expected service time of the running requests.
		averageUsedSlots      float64                  // Moving average of the slots in use.
		averageOfferedSlots   float64                  // Offered load: moving average of the slots needed by all work sent.
		averageServiceSeconds float64                  // Moving average of the expected service time of a request.
		averagesUpdatedAt     time.Time                // When averageUsedSlots and averageOfferedSlots were updated.
	}

	attemptHeap []*attempt
)

func newFairQueue() fairQueue {
	return fairQueue{byName: map[string]*flow{}}
}

// flowFor returns the organisation's flow and applies its configured limits to it.
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
		// A burst of one second allows an entry to send the requests that it has
		// accumulated.
		limit, burst = rate.Limit(perSecond), int(math.Ceil(perSecond))
	}
	if flow.limiter.Limit() != limit {
		flow.limiter = rate.NewLimiter(limit, burst)
	}
}

// prune removes the idle flows of organisations that are no longer configured.
func (queue *fairQueue) prune(snapshot configurations.Snapshot) {
	for name, known := range queue.byName {
		if _, _, configured := configurations.Lookup[configurations.Organisation](snapshot, name); configured {
			continue
		}
		if known.running == 0 && len(known.waiting) == 0 {
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

// pop removes the attempt to run next and charges its organisation the expected
// service time. It returns nil if no waiting attempt may start.
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

// mayStart reports whether the flow may take one more slot. The flooding flows
// together may use their fair share, or what is left after reserving the average
// use of the other flows plus a margin, whichever is more. Running requests are not
// preempted: without this limit, a flood of long requests holds every slot, and
// each request of another organisation waits until one of them ends.
func (queue *fairQueue) mayStart(now time.Time, requester *flow, slots int) bool {
	if requester.running == 0 || requester.averageOfferedSlots <= floodFactor {
		return true
	}
	totalWeight := queue.activeWeight(now)
	if !requester.isFlooding(slots, totalWeight) {
		return true
	}
	usedByOthers, floodingWeight, floodingSlots := 0.0, 0.0, 0
	for _, each := range queue.byName {
		if each.isFlooding(slots, totalWeight) {
			floodingWeight += each.weight
			floodingSlots += each.running
		} else {
			usedByOthers += each.averageUsedSlots
		}
	}
	unreserved := slots - int(math.Ceil(usedByOthers+reservedDeviations*math.Sqrt(usedByOthers)))
	fairShare := int(float64(slots) * floodingWeight / totalWeight)
	return floodingSlots < max(unreserved, fairShare)
}

// activeWeight updates all averages and returns the total weight of the
// organisations that use the backend server.
func (queue *fairQueue) activeWeight(now time.Time) float64 {
	totalWeight := 0.0
	for _, each := range queue.byName {
		each.updateAverages(now)
		if each.averageUsedSlots >= minActiveUsage || each.outstandingRequests() > 0 {
			totalWeight += each.weight
		}
	}
	return totalWeight
}

func (flow *flow) isFlooding(slots int, totalWeight float64) bool {
	threshold := floodFactor * max(float64(slots)*flow.weight/totalWeight, 1)
	return flow.averageOfferedSlots > threshold && float64(flow.outstandingRequests()) > threshold
}

// recordOffered adds a request to the offered load, whether it is admitted or not.
func (flow *flow) recordOffered(now time.Time, seconds float64) {
	flow.updateAverages(now)
	flow.averageOfferedSlots += seconds / offeredTimeConstantSeconds
	if flow.averageServiceSeconds == 0 {
		flow.averageServiceSeconds = seconds
	}
	flow.averageServiceSeconds = movingAverage(flow.averageServiceSeconds, seconds)
}

// outstandingSeconds returns the expected service time of the flow's waiting and
// running requests.
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

// updateAverages applies the time since the last update to the moving averages. It
// must be called before each change of flow.running.
func (flow *flow) updateAverages(now time.Time) {
	elapsed := now.Sub(flow.averagesUpdatedAt).Seconds()
	flow.averagesUpdatedAt = now
	decay := math.Exp(-elapsed / usageTimeConstantSeconds)
	flow.averageUsedSlots = flow.averageUsedSlots*decay + float64(flow.running)*(1-decay)
	flow.averageOfferedSlots *= math.Exp(-elapsed / offeredTimeConstantSeconds)
}

// adjustRunning adds the slots, which may be negative, to those that the flow uses.
// The seconds are the expected service time of the request in each slot.
func (flow *flow) adjustRunning(now time.Time, slots int, seconds float64) {
	flow.updateAverages(now)
	flow.running += slots
	flow.runningSeconds += float64(slots) * seconds
	if flow.running == 0 {
		flow.runningSeconds = 0 // Removes accumulated rounding errors.
	}
}

// correctCharge replaces the expected service time that pop charged with the
// measured one.
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
	owner.waitingSeconds = [maxPriority + 1]float64{} // Removes accumulated rounding errors.
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

// predictWait returns how many seconds a new request of the flow would wait when all
// slots are busy. The flow receives at least its weighted share of the service, and
// no request waits longer than all waiting requests together take.
func (queue *fairQueue) predictWait(owner *flow, priority, slots int, service float64) float64 {
	ahead := 0.0
	for _, seconds := range owner.waitingSeconds[priority:] {
		ahead += seconds
	}
	totalWeight := queue.backloggedWeight
	if owner.backlogIndex < 0 {
		totalWeight += owner.weight
	}
	fairWait := ahead * totalWeight / owner.weight
	return (min(fairWait, queue.waitingSeconds) + service) / float64(slots)
}

// evictionCandidate returns the attempt to evict from a full queue in favour of a
// request of the flow: the last attempt of the organisation with the most
// outstanding service time in relation to its weight. It returns nil if that
// organisation is the flow's own.
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

// runsBefore reports whether the attempt runs before another one of its flow.
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
