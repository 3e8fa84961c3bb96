package sim

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// stream returns the random number generator for one purpose. Each purpose has its own, so that more draws for one do not change
// those for another. The names must not change, because they are part of the seed.
func stream(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// aliasTable draws indices with probabilities in proportion to their weights, in constant time (Walker's alias method, with the
// table of Vose, 1991).
type aliasTable struct {
	probability []float64
	alias       []int32
}

func newAliasTable(weights []float64) *aliasTable {
	n := len(weights)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	t := &aliasTable{probability: make([]float64, n), alias: make([]int32, n)}
	scaled := make([]float64, n)
	var small, large []int32
	for i, w := range weights {
		scaled[i] = w / total * float64(n)
		if scaled[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		t.probability[s], t.alias[s] = scaled[s], l
		scaled[l] -= 1 - scaled[s]
		if scaled[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		t.probability[i] = 1
	}
	return t
}

// draw returns a random index.
func (t *aliasTable) draw(rng *rand.Rand) int {
	i := rng.IntN(len(t.probability))
	if rng.Float64() < t.probability[i] {
		return i
	}
	return int(t.alias[i])
}
