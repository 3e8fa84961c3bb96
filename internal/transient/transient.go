// Package transient recognises failures of system calls that are temporary and not caused by the peer: this machine is out of
// descriptors, ports or memory, a call was interrupted, or the network is unreachable for a moment. Callers retry after a pause and
// do not count these failures against a server. The package also has functions that retry while listeners are opened and accept
// connections.
package transient

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	// acceptPause is the pause after a failed accept. A shorter pause would take processor time from the code that releases
	// descriptors.
	acceptPause = 10 * time.Millisecond
	// ListenWithRetry tries to open a listener listenAttempts times, with listenPause after each failure: for two seconds.
	listenPause, listenAttempts = 50 * time.Millisecond, 40
)

// transientErrnos are the transient errors of socket, connect and accept according to their manual pages.
var transientErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN,
	syscall.ECONNABORTED, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// storageErrnos are the errors of writes to a directory that cannot be written for a while.
var storageErrnos = []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT}

// IsTransient reports whether an error is a transient failure of this machine.
func IsTransient(err error) bool { return isAny(err, transientErrnos) }

// IsStorageUnavailable reports whether an error means that a directory cannot be written for a while, for example because the disk
// is full.
func IsStorageUnavailable(err error) bool { return isAny(err, storageErrnos) }

func isAny(err error, errnos []syscall.Errno) bool {
	return slices.ContainsFunc(errnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// listener retries failed accepts.
type listener struct{ net.Listener }

// KeepAccepting returns a listener whose Accept fails only when the listener is closed or its deadline passes. It is for servers
// that stop at the first failed accept.
func KeepAccepting(ln net.Listener) net.Listener { return listener{ln} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		time.Sleep(acceptPause)
	}
}

// ListenWithRetry opens a listener and retries transient failures for two seconds. It returns the last error.
func ListenWithRetry(open func() (net.Listener, error)) (ln net.Listener, err error) {
	for range listenAttempts {
		if ln, err = open(); err == nil || !IsTransient(err) {
			return ln, err
		}
		time.Sleep(listenPause)
	}
	return ln, err
}
