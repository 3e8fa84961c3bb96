package policy

import (
	"math"
	"slices"
	"time"
)

// boundedMap is a map with a maximum number of entries. When it is full, a new key replaces the oldest one.
type boundedMap[K comparable, V any] struct {
	values map[K]V
	keys   []K // ring buffer, in the order of insertion
	oldest int // index of the oldest key, once the ring is full
}

func newBoundedMap[K comparable, V any](maxEntries int) *boundedMap[K, V] {
	return &boundedMap[K, V]{values: map[K]V{}, keys: make([]K, 0, maxEntries)}
}

func (b *boundedMap[K, V]) get(key K) (V, bool) {
	value, found := b.values[key]
	return value, found
}

func (b *boundedMap[K, V]) put(key K, value V) {
	if _, found := b.values[key]; !found {
		if len(b.keys) < cap(b.keys) {
			b.keys = append(b.keys, key)
		} else {
			delete(b.values, b.keys[b.oldest])
			b.keys[b.oldest] = key
			b.oldest = (b.oldest + 1) % len(b.keys)
		}
	}
	b.values[key] = value
}

// Fraction is the fraction of cases that were true, between 0 and 1, as an exponentially weighted moving
// average.
type Fraction float64

// add adds one case, with the weight gain.
func (f *Fraction) add(isTrue bool, gain float64) {
	*f -= Fraction(gain) * *f
	if isTrue {
		*f += Fraction(gain)
	}
}

// decayingRate is an amount per second, averaged with exponential decay. Its methods must all be called with
// the same time constant.
type decayingRate struct {
	decayingSum float64
	updatedAt   Time
}

func (d *decayingRate) sumAt(now Time, timeConstant time.Duration) float64 {
	return d.decayingSum * math.Exp(-float64(now-d.updatedAt)/float64(timeConstant))
}

func (d *decayingRate) add(now Time, timeConstant time.Duration, amount float64) {
	d.decayingSum, d.updatedAt = d.sumAt(now, timeConstant)+amount, now
}

func (d *decayingRate) perSecond(now Time, timeConstant time.Duration) float64 {
	return d.sumAt(now, timeConstant) / timeConstant.Seconds()
}

// mix hashes x with the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hash returns the 64-bit FNV-1a hash of s, mixed.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// uniform maps random bits to a number between 0 and 1, exclusive.
func uniform(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// removeFirst removes the first x from list and keeps the order of the others. slices.Delete clears the last
// element of the old list, so that the removed x is not kept reachable.
func removeFirst[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
