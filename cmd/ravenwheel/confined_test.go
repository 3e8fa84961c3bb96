package main

import (
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// confinedEnv names the program that TestConfinedProcess becomes.
const confinedEnv = "RAVENWHEEL_CONFINED"

// confined starts the program so that it is killed where it starts another program or uses a Unix socket, io_uring, splice or
// sendfile, and gets ENOSYS for clone3, which the C library tries first: the calls that one platform forbids.
func confined(t *testing.T, bin string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-test.run=^TestConfinedProcess$")
	cmd.Env = append(os.Environ(), confinedEnv+"=/bin/true")
	if err := cmd.Run(); err != nil {
		t.Skipf("no system-call filters here: %v", err)
	}
	cmd = exec.Command(os.Args[0], "-test.run=^TestConfinedProcess$")
	cmd.Env = append(os.Environ(), confinedEnv+"="+bin)
	return cmd
}

// TestConfinedProcess is a helper process of other tests: it installs the filter, and executes the program that confinedEnv names.
func TestConfinedProcess(t *testing.T) {
	bin := os.Getenv(confinedEnv)
	if bin == "" {
		return
	}
	runtime.LockOSThread() // the filter is this thread's, and so is what it becomes
	require.NoError(t, unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0))
	f := filter()
	prog := unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, 0, uintptr(unsafe.Pointer(&prog)))
	require.Zero(t, errno)
	require.NoError(t, syscall.Exec(bin, []string{bin}, os.Environ()))
}

// filter is a seccomp program. It reads the call's number and, of two calls, the first argument.
func filter() (f []unix.SockFilter) {
	const number, first = 0, 16 // offsets in struct seccomp_data
	load := func(at uint32) {
		f = append(f, unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at})
	}
	is := func(k uint32, yes, no uint8) {
		f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: yes, Jf: no, K: k})
	}
	end := func(what uint32) { f = append(f, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: what}) }
	load(number)
	for _, call := range []uint32{unix.SYS_SPLICE, unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_SOCKETPAIR} {
		is(call, 0, 1)
		end(unix.SECCOMP_RET_KILL_PROCESS)
	}
	is(unix.SYS_CLONE3, 0, 1)
	end(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS))
	is(unix.SYS_SOCKET, 0, 3)
	load(first)
	is(unix.AF_UNIX, 0, 1)
	end(unix.SECCOMP_RET_KILL_PROCESS)
	load(number)
	is(unix.SYS_CLONE, 0, 3)
	load(first)
	f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 1, K: unix.CLONE_THREAD})
	end(unix.SECCOMP_RET_KILL_PROCESS)
	end(unix.SECCOMP_RET_ALLOW)
	return f
}
