package atmostonce

import (
	"errors"
	"fmt"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	slotBytes = 8
	// maxSharedSlots bounds the memory that is accepted from another process.
	maxSharedSlots = 1 << 20
)

// errNotSealed means that another process could change the size of the memory that it has sent.
var errNotSealed = errors.New("atmostonce: the size of the shared memory is not sealed")

// sizeSeals keep the size of shared memory as it is: access beyond its end would end the process.
const sizeSeals = unix.F_SEAL_SHRINK | unix.F_SEAL_GROW

// newSharedTable returns a table in memory that has a descriptor. If there can be none, the table has no slots.
func newSharedTable(slots int) *table {
	descriptor, err := unix.MemfdCreate("ravenwheel-at-most-once", unix.MFD_CLOEXEC|unix.MFD_ALLOW_SEALING)
	if err != nil {
		return &table{descriptor: -1}
	}
	if err = unix.Ftruncate(descriptor, int64(slots)*slotBytes); err == nil {
		_, err = unix.FcntlInt(uintptr(descriptor), unix.F_ADD_SEALS, sizeSeals)
	}
	if err == nil {
		var t *table
		if t, err = mapTable(descriptor, slots); err == nil {
			return t
		}
	}
	_ = unix.Close(descriptor)
	return &table{descriptor: -1}
}

func mapTable(descriptor, slots int) (*table, error) {
	mapped, err := unix.Mmap(descriptor, 0, slots*slotBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	return &table{slots: unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&mapped[0])), slots), descriptor: descriptor}, nil
}

// Descriptor returns the descriptor of the registry's memory, which another process may adopt. ok is false if it is not shared.
func (r *Registry) Descriptor() (descriptor int, ok bool) {
	if r == nil {
		return -1, false
	}
	descriptor = r.table.Load().descriptor
	return descriptor, descriptor >= 0
}

// Adopt replaces the registry's memory by that of another process's registry. It must be called before the first Begin. If it
// returns no error, the registry owns the descriptor.
func (r *Registry) Adopt(descriptor int) error {
	if r == nil {
		return errors.New("atmostonce: there is no registry")
	}
	var info unix.Stat_t
	if err := unix.Fstat(descriptor, &info); err != nil {
		return err
	}
	slots := int(info.Size / slotBytes)
	if slots < bucketSlots || slots > maxSharedSlots || slots&(slots-1) != 0 {
		return fmt.Errorf("atmostonce: shared memory of %d bytes", info.Size)
	}
	seals, err := unix.FcntlInt(uintptr(descriptor), unix.F_GET_SEALS, 0)
	if err != nil {
		return err
	}
	if seals&sizeSeals != sizeSeals {
		return errNotSealed
	}
	adopted, err := mapTable(descriptor, slots)
	if err != nil {
		return err
	}
	own := r.table.Swap(adopted)
	if own.descriptor >= 0 {
		_ = unix.Close(own.descriptor)
	}
	return nil
}
