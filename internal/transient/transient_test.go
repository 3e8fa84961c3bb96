package transient

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose first calls of Accept fail with the listed errors.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// Accept continues after failures, transient or not, and returns an error once the listener is closed.
func TestAcceptContinuesAfterFailures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	wrapped := KeepAccepting(&failingListener{ln, []error{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.EPERM}})
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	got, err := wrapped.Accept()
	require.NoError(t, err)
	got.Close()
	require.NoError(t, wrapped.Close())
	_, err = wrapped.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Opening a listener is retried after a transient failure. Any other failure is returned at once.
func TestListenIsRetriedAfterTransientFailure(t *testing.T) {
	for errno, wantAttempts := range map[syscall.Errno]int{syscall.ENFILE: 3, syscall.EADDRINUSE: 1} {
		attempts := 0
		ln, err := ListenWithRetry(func() (net.Listener, error) {
			if attempts++; attempts < 3 {
				return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", errno)}
			}
			return net.Listen("tcp", "127.0.0.1:0")
		})
		require.Equal(t, wantAttempts, attempts)
		require.Equal(t, wantAttempts == 3, err == nil)
		if err == nil {
			ln.Close()
		}
	}
}
