package distribution

// jitter draws random numbers from a seed (splitmix64), so that machines with the same seed and events behave alike. Its state is
// one number, which a model can copy.
type jitter struct{ state uint64 }

// next returns 64 random bits.
func (j *jitter) next() uint64 {
	j.state += 0x9e3779b97f4a7c15
	z := j.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// upTo returns a number from 0 up to, not including, limit.
func (j *jitter) upTo(limit float64) float64 {
	return float64(j.next()>>11) / (1 << 53) * limit
}
