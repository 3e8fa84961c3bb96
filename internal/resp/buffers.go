package resp

import (
	"math/bits"
	"sync"
)

const (
	// largestBufferBits is the logarithm of the size of the largest buffer that is kept: MaxRequestSize, rounded up.
	largestBufferBits = 16
	// keptPerSize is how many unused buffers of each size are kept.
	keptPerSize = 16
)

// Buffers are buffers of a few sizes that are used again, since a flood of incomplete frames would otherwise leave more garbage than
// can be collected meanwhile. The zero value has none; nil makes a new buffer each time.
type Buffers struct {
	mu     sync.Mutex
	unused [largestBufferBits + 1][][]byte // by the logarithm of their size
}

// roundUp returns the size of the buffer that get returns for a size.
func (b *Buffers) roundUp(size int) int {
	if b == nil || size > 1<<largestBufferBits {
		return size
	}
	return 1 << bits.Len(uint(size-1))
}

// get returns an empty buffer with a capacity that roundUp has returned.
func (b *Buffers) get(size int) []byte {
	if b == nil || size > 1<<largestBufferBits {
		return make([]byte, 0, size)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	list := &b.unused[bits.Len(uint(size-1))]
	last := len(*list) - 1
	if last < 0 {
		return make([]byte, 0, size)
	}
	buffer := (*list)[last]
	*list = (*list)[:last]
	return buffer
}

// put takes back a buffer that is no longer used.
func (b *Buffers) put(buffer []byte) {
	size := cap(buffer)
	if b == nil || size == 0 || size > 1<<largestBufferBits || size&(size-1) != 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := &b.unused[bits.Len(uint(size-1))]; len(*list) < keptPerSize {
		*list = append(*list, buffer[:0])
	}
}
