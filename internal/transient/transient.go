// Package transient tells failures of system calls that pass by themselves and are nobody else's doing: this machine is out of
// descriptors, ports or memory, a call was interrupted, there is no way to the network for a moment. Who meets one asks again
// after a pause, and blames no server for it.
package transient

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// errnos are the failures of socket, connect and accept that pass, as their manual pages tell.
var errnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN,
	syscall.ECONNABORTED, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// Is tells whether an error is of that kind.
func IsTransient(err error) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Full tells whether an error is of a folder that takes no writes for a while.
func IsStorageUnavailable(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT)
}

const (
	// acceptPause: after an accept that failed the next one waits so long. Shorter takes the core that others need to give
	// descriptors back.
	acceptPause = 10 * time.Millisecond
	// listenPause, listenTries: a listener that can't be opened for the moment is tried again within two seconds.
	listenPause, listenTries = 50 * time.Millisecond, 40
)

// listener accepts on after a failure.
type listener struct{ net.Listener }

// Listener returns a listener whose Accept fails only once it is closed. Guards against servers that end for good with the first
// accept that fails.
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

// Listen opens a listener, and tries again for a while where that fails for the moment. Guards against a process that refuses to
// start for it.
func ListenWithRetry(open func() (net.Listener, error)) (ln net.Listener, err error) {
	for range listenTries {
		if ln, err = open(); err == nil || !IsTransient(err) {
			return ln, err
		}
		time.Sleep(listenPause)
	}
	return ln, err
}
