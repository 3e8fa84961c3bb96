package control

import (
	"runtime/debug"

	"ravenwheel/internal/memory"
)

// Garbage collection targets, in percent of the live heap. A collection delays requests that wait for the only core, so collections
// are rare while there is spare memory. Two processes that share the limit have no spare memory.
const (
	gcPercent       = 400
	gcPercentShared = 50
)

const (
	// codeBytes is the resident memory that the Go runtime does not count: the program's code and read-only data, and the C library.
	codeBytes = 13 << 20
	// baseBytes is what the heap holds while nobody has connected.
	baseBytes = 3 << 20
	// startBytes is what another process that takes over has by the time both know of each other.
	startBytes = 14 << 20
	// minRuntimeBytes is the least limit of the runtime: with less, it would do little but collect garbage.
	minRuntimeBytes = 6 << 20
	// maxRuntimeNumerator and maxRuntimeDenominator are the fraction of the limit that the runtime may use at most.
	maxRuntimeNumerator, maxRuntimeDenominator = 5, 8
	// accountNumerator and accountDenominator are the fraction of the runtime's memory, less baseBytes, that others can make the
	// process hold. The rest is for garbage that is not collected yet.
	accountNumerator, accountDenominator = 1, 2
)

// Limits say how much memory a process may use.
type Limits struct {
	MemoryMB int  // 0: no limit
	Handover bool // another process may take over, and has a part of the memory then
}

// runtimeLimit returns the Go runtime's limit in bytes. Shared is whether another process shares the memory at present.
func (l Limits) runtimeLimit(shared bool) int64 {
	total := int64(l.MemoryMB) << 20
	if shared {
		total /= 2
	}
	limit := min(total-codeBytes, total*maxRuntimeNumerator/maxRuntimeDenominator)
	if withSuccessor := total - codeBytes - startBytes; l.Handover && !shared && withSuccessor >= startBytes {
		limit = min(limit, withSuccessor)
	}
	return max(minRuntimeBytes, limit)
}

// accountLimit returns how many bytes others can make a process hold whose runtime has a limit.
func accountLimit(runtimeLimit int64) int64 {
	return (runtimeLimit - baseBytes) * accountNumerator / accountDenominator
}

// NewAccount returns the account of a process with limits; nil if there is no limit.
func (l Limits) NewAccount() *memory.Account {
	if l.MemoryMB <= 0 {
		return nil
	}
	return memory.New(accountLimit(l.runtimeLimit(false)))
}

// Apply limits the Go runtime's memory and the account. Shared is whether another process shares the memory at present.
func (l Limits) Apply(shared bool, account *memory.Account) {
	if l.MemoryMB <= 0 {
		return
	}
	limit, gcTarget := l.runtimeLimit(shared), gcPercent
	if shared {
		gcTarget = gcPercentShared
	}
	debug.SetMemoryLimit(limit)
	debug.SetGCPercent(gcTarget)
	account.SetLimit(accountLimit(limit))
}
