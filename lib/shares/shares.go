// Package shares deals the free slots of a server among the entries that send to it, in
// proportion to their demand.
//
// Each entry gets a part of the range from 0 to Whole. The free slots are points spread
// evenly over that range and shifted with each report, and an entry may use the points
// in its part. The parts cover the range without a gap, so all of them together hold
// exactly the free slots, whatever the demands are. Rounding each entry's slots by itself
// was rejected: the sum would exceed the free slots, or entries with a small part would
// never get one.
package shares

import "math"

const (
	// Whole is the end of the range that is dealt, in thousandths.
	Whole = 1000
	// basePerS is added to the demand of each entry, in requests a second. A count of one
	// second varies at random by its square root, so small demands differ mostly by chance,
	// and an entry without demand needs slots for its first requests.
	basePerS = 8
	// maxDemand is the highest demand that counts, in requests a second. An entry serves
	// some hundred.
	maxDemand = 10_000
	// newestWeight is the weight of the newest demand in the smoothed one. The demand of an
	// entry is stated each second and varies by a fifth at random. A shift of a third of the
	// demand must settle within two seconds.
	newestWeight = 0.75
	// pointStep and edgeStep are by how much the points and the edges of the parts shift with
	// each report, in thousandths. They approximate the steps of the two-dimensional
	// additive sequence with the most even spread (1/p and 1/p^2 for the plastic number
	// p = 1.3247), so that few reports in a row give each part about its proportion.
	pointStep = 755
	edgeStep  = 569
)

type (
	// Demand is the smoothed demand of an entry in requests a second. It is immutable. The
	// zero value is a demand that was never stated.
	Demand struct {
		perS     float64
		isStated bool
	}

	// Part is the part of the free slots that one entry may use, from begin (included) to
	// end (excluded). It is immutable. The zero value is a part that was not dealt.
	Part struct {
		begin, end int
		isDealt    bool
	}
)

// With returns the demand after the entry stated it anew.
func (demand Demand) With(perS float64) Demand {
	if math.IsNaN(perS) {
		return demand
	}
	perS = min(max(perS, 0), maxDemand)
	if !demand.isStated {
		return Demand{perS: perS, isStated: true}
	}
	demand.perS += newestWeight * (perS - demand.perS)
	return demand
}

// IsStated reports whether the entry stated a demand.
func (demand Demand) IsStated() bool { return demand.isStated }

// NewPart returns the part between the two edges. Edges out of range or order give a part
// that was not dealt.
func NewPart(begin, end int) Part {
	if begin < 0 || end < begin || end > Whole {
		return Part{}
	}
	return Part{begin: begin, end: end, isDealt: true}
}

// IsDealt reports whether the part was dealt.
func (part Part) IsDealt() bool { return part.isDealt }

// Edges returns where the part begins and ends.
func (part Part) Edges() (begin, end int) { return part.begin, part.end }

// Width returns the size of the part in thousandths.
func (part Part) Width() int { return part.end - part.begin }

// Slots returns how many of the free slots belong to the part. The turn counts the
// reports, and all entries have to use the same one.
func (part Part) Slots(free, turn int) int {
	if free <= 0 {
		return 0
	}
	shift := phase(turn, pointStep)
	return pointsBefore(part.end, free, shift) - pointsBefore(part.begin, free, shift)
}

// pointsBefore returns how many of the points lie before the edge. The point i lies at
// i + shift/Whole in units of the distance between two points, which is Whole/count.
func pointsBefore(edge, count, shift int) int { return (edge*count - shift + Whole - 1) / Whole }

// phase returns the position of a sequence with the step at the turn, below Whole.
func phase(turn, step int) int { return (turn%Whole + Whole) % Whole * step % Whole }

// Deal returns the parts of the entries with these demands, in their order. An entry that
// stated none gets the mean. It returns nil if no entry stated any.
func Deal(demands []Demand, turn int) []Part {
	mean, isStated := meanDemand(demands)
	if !isStated {
		return nil
	}
	sum := 0.0
	for _, demand := range demands {
		sum += demand.weight(mean)
	}
	parts := make([]Part, len(demands))
	before, begin := 0.0, 0
	for i, demand := range demands {
		before += demand.weight(mean)
		end := edge(before/sum, turn)
		if i == len(demands)-1 {
			end = Whole
		}
		parts[i] = NewPart(begin, end)
		begin = end
	}
	return parts
}

// edge returns the edge after this share of the range. Whether it is rounded up or down
// changes with the turn, so that a part smaller than a thousandth is not always empty.
func edge(share float64, turn int) int {
	dither := float64(phase(turn, edgeStep)) / Whole
	return min(int(share*Whole+dither), Whole)
}

// weight returns the weight of the entry's part, given the mean demand.
func (demand Demand) weight(mean float64) float64 {
	if !demand.isStated {
		return mean + basePerS
	}
	return demand.perS + basePerS
}

// meanDemand returns the mean of the demands that were stated, and whether any was.
func meanDemand(demands []Demand) (mean float64, isStated bool) {
	sum, count := 0.0, 0
	for _, demand := range demands {
		if demand.isStated {
			sum += demand.perS
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
