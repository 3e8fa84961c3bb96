package distribution

// draws are numbers from a seed (splitmix64): the same machine draws the same.
type jitter struct{ state uint64 }

func (d *jitter) next() uint64 {
	d.state += 0x9e3779b97f4a7c15
	z := d.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below is a number from 0 up to, not including, most.
func (d *jitter) upTo(most float64) float64 {
	return float64(d.next()>>11) / (1 << 53) * most
}
