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

// tryLock takes the lock if nobody holds it. It is bound to the open file: passed on, two processes hold the one.
func (h *Hand) tryLock() bool {
	if h.lock != nil {
		return true
	}
	f, err := os.OpenFile(h.base+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		// Guards against a process that refuses to start as the folder takes nothing for a while: it is tried again.
		if !transient.IsTransient(err) && !transient.IsStorageUnavailable(err) {
			h.fail(err)
		}
		return false
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return false
	}
	h.lock = f
	return true
}

// listen opens the clients' address, beside another process's listener if there is one.
func (h *Hand) listen() error {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		cerr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(cerr, err)
	}}
	ln, err := transient.ListenWithRetry(func() (net.Listener, error) { return lc.Listen(context.Background(), "tcp", h.opt.Listen) })
	if err != nil {
		return err
	}
	h.ln = ln.(*net.TCPListener)
	return nil
}

// given takes the listener and the lock.
func (h *Hand) given(fds []int) bool {
	if len(fds) < 1 {
		return false
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	ln, err := net.FileListener(f)
	f.Close()
	tcp, ok := ln.(*net.TCPListener)
	if err != nil || !ok || tcp.Addr().String() != h.opt.Listen {
		h.opt.Log.Warn("handover").Msg("what the owner passed on is no listener at the clients' address")
		shut(fds[1:])
		return false
	}
	h.inherit()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln = tcp
	if len(fds) > 1 && h.lock == nil {
		h.lock = os.NewFile(uintptr(fds[1]), "lock")
		fds = fds[1:]
	}
	shut(fds[1:])
	return true
}

// grant passes on the listener and the lock.
func (h *Hand) grant(to *net.UnixConn) {
	if to == nil {
		return
	}
	raw, err := h.ln.SyscallConn()
	if err != nil {
		return
	}
	h.bequeath()
	_ = raw.Control(func(fd uintptr) {
		fds := []int{int(fd)}
		if h.lock != nil {
			fds = append(fds, int(h.lock.Fd()))
		}
		err = send(to, message{Kind: "given"}, fds)
	})
	if err != nil {
		to.Close() // its reader tells that it is gone
	}
}
