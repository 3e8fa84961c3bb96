package handover

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"ravenwheel/internal/transient"
)

// tryLock takes the owner's lock if it is free, and reports whether this process holds it. The lock belongs to the open file
// description: when its descriptor is passed on, both processes hold the lock. The caller holds mu.
func (c *Coordinator) tryLock() bool {
	if c.lock != nil {
		return true
	}
	f, err := os.OpenFile(c.basePath+lockExtension, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		// A temporary fault of the directory must not make the start fail: the machine tries the lock again.
		if !transient.IsTransient(err) && !transient.IsStorageUnavailable(err) {
			c.fail(err)
		}
		return false
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return false
	}
	c.lock = f
	return true
}

// listen opens a listener at the clients' address, at which another process may have a listener too. The caller holds mu.
func (c *Coordinator) listen() error {
	config := net.ListenConfig{Control: reusePort}
	listener, err := transient.ListenWithRetry(func() (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", c.opt.Listen)
	})
	if err != nil {
		return err
	}
	c.listener = listener.(*net.TCPListener)
	return nil
}

// reusePort sets SO_REUSEPORT, with which several listeners can have the same address.
func reusePort(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, err)
}

// acceptGrant takes over the listener and, if it was passed on, the lock, whose descriptors come in this order. It reports whether
// the grant has a listener at the clients' address.
func (c *Coordinator) acceptGrant(descriptors []int) bool {
	if len(descriptors) < 1 {
		return false
	}
	f := os.NewFile(uintptr(descriptors[0]), "listener")
	generic, err := net.FileListener(f)
	f.Close()
	listener, ok := generic.(*net.TCPListener)
	if err != nil || !ok || listener.Addr().String() != c.opt.Listen {
		c.opt.Log.Warn("handover").Msg("ignoring a grant whose descriptor is not a listener at the clients' address")
		closeDescriptors(descriptors[1:])
		return false
	}
	c.restoreLearnedState()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	if len(descriptors) > 1 && c.lock == nil {
		c.lock = os.NewFile(uintptr(descriptors[1]), "lock")
		descriptors = descriptors[1:]
	}
	closeDescriptors(descriptors[1:])
	return true
}

// grant sends the listener and the lock to a successor. The caller holds mu.
func (c *Coordinator) grant(to *net.UnixConn) {
	if to == nil {
		return
	}
	raw, err := c.listener.SyscallConn()
	if err != nil {
		return
	}
	c.saveLearnedState()
	_ = raw.Control(func(fd uintptr) {
		descriptors := []int{int(fd)}
		if c.lock != nil {
			descriptors = append(descriptors, int(c.lock.Fd()))
		}
		err = send(to, message{Kind: kindGrant}, descriptors)
	})
	if err != nil {
		to.Close() // readSuccessor handles the loss
	}
}
