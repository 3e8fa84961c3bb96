package fleetview

import (
	"cmp"
	"math"
	"slices"
)

// Level is an amount in steps of an eighth of an octave, which is within 4.5 % of it, so that what hardly changes is not
// told again. 0 is none; amounts below a sixteenth are told as the least.
type Level uint8

const (
	levelSteps = 8.0
	levelLeast = 1.0 / 16
)

// LevelOf is the level nearest to an amount.
func LevelOf(v float64) Level {
	if !(v > 0) {
		return 0
	}
	return Level(min(math.MaxUint8, max(1, math.Round(levelSteps*math.Log2(1+v/levelLeast)))))
}

// Value is the amount that a level stands for.
func (l Level) Value() float64 { return levelLeast * (math.Exp2(float64(l)/levelSteps) - 1) }

// near tells whether two levels are fewer than so many steps apart.
func (l Level) near(o Level, steps Level) bool { return max(l, o)-min(l, o) < steps }

// Buckets of latency are octaves: up to 12.5 ms, 25, 50 and so on; the last one takes all above.
const Buckets, firstBucket = 10, 12.5

// Latency is a histogram of answers, as shares in 255ths without the empty buckets at its end.
type Latency []byte

// BucketOf is where an answer after ms belongs.
func BucketOf(ms float64) int {
	if !(ms > firstBucket) {
		return 0
	}
	return min(Buckets-1, int(math.Ceil(math.Log2(ms/firstBucket))))
}

func latencyOf(counts [Buckets]uint64) Latency {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return nil
	}
	out := make(Latency, 0, Buckets)
	for _, n := range counts {
		out = append(out, byte(math.Round(255*float64(n)/float64(total))))
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

// near tells whether two histograms differ by no more than a part of the answers in every bucket.
func (l Latency) near(o Latency, part float64) bool {
	for i := range max(len(l), len(o)) {
		if math.Abs(l.at(i)-o.at(i)) > part {
			return false
		}
	}
	return true
}

func (l Latency) at(i int) float64 {
	if i >= len(l) {
		return 0
	}
	return float64(l[i]) / 255
}

// Quantile is the latency in ms below which a share q of the answers came, by the upper ends of buckets and evenly within
// one; 0 where there were none.
func (l Latency) Quantile(q float64) float64 {
	total := 0.0
	for i := range l {
		total += l.at(i)
	}
	if total == 0 {
		return 0
	}
	low, sum := 0.0, 0.0
	for i := range l {
		high := firstBucket * math.Exp2(float64(i))
		if part := l.at(i); sum+part >= q*total && part > 0 {
			return low + (high-low)*(q*total-sum)/part
		}
		sum += l.at(i)
		low = high
	}
	return low
}

// Heavies finds the objects asked for most in bounded memory, by the space-saving sketch (Metwally, Agrawal, El Abbadi,
// 2005): a count is never below the true one, and over it by no more than all counts together by the sketch's size.
type Heavies struct {
	size   int
	counts map[uint64]float64
}

// NewHeavies returns a sketch of so many objects.
func NewHeavies(size int) *Heavies { return &Heavies{size, make(map[uint64]float64, size)} }

// Add counts one request.
func (h *Heavies) Add(object uint64) {
	if _, known := h.counts[object]; known || len(h.counts) < h.size {
		h.counts[object]++
		return
	}
	least, at := math.Inf(1), uint64(0)
	for o, n := range h.counts {
		if n < least || n == least && o < at {
			least, at = n, o
		}
	}
	delete(h.counts, at)
	h.counts[object] = least + 1
}

// Fade leaves a part of every count, so that what was heavy once is forgotten.
func (h *Heavies) Fade(part float64) {
	for o := range h.counts {
		if h.counts[o] *= part; h.counts[o] < 0.5 {
			delete(h.counts, o)
		}
	}
}

// Most are the n heaviest objects, with their counts times a scale, heaviest first.
func (h *Heavies) Most(n int, scale float64) []Heavy {
	out := make([]Heavy, 0, len(h.counts))
	for o, c := range h.counts {
		out = append(out, Heavy{Object: o, Rate: LevelOf(c * scale)})
	}
	slices.SortFunc(out, func(a, b Heavy) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Object, b.Object)) })
	return out[:min(n, len(out))]
}
