package transient

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	left []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.left) == 0 {
		return f.Listener.Accept()
	}
	err := f.left[0]
	f.left = f.left[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// Accepting goes on after failures of every kind, and ends once the listener is closed.
func TestAcceptGoesOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := KeepAccepting(&failing{ln, []error{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.EPERM}})
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	got, err := l.Accept()
	require.NoError(t, err)
	got.Close()
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// A listener that can't be opened for the moment is opened a little later; one that can't be for another reason is not waited
// for.
func TestListenTriesAgain(t *testing.T) {
	for why, tries := range map[syscall.Errno]int{syscall.ENFILE: 3, syscall.EADDRINUSE: 1} {
		tried := 0
		ln, err := ListenWithRetry(func() (net.Listener, error) {
			if tried++; tried < 3 {
				return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", why)}
			}
			return net.Listen("tcp", "127.0.0.1:0")
		})
		require.Equal(t, tries, tried)
		require.Equal(t, tries == 3, err == nil)
		if err == nil {
			ln.Close()
		}
	}
}
