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

// confinedEnv is the environment variable with the path of the program that TestConfinedProcess executes.
const confinedEnv = "RAVENWHEEL_CONFINED"

// confined returns a command that runs the program with the system calls forbidden that one platform forbids: the program is killed
// if it starts another program or uses a Unix socket, io_uring, splice or sendfile, and gets ENOSYS for clone3, which the C library
// tries first.
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
	runtime.LockOSThread() // the filter applies to this thread, which executes the program
	require.NoError(t, unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0))
	f := filter()
	prog := unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, 0, uintptr(unsafe.Pointer(&prog)))
	require.Zero(t, errno)
	require.NoError(t, syscall.Exec(bin, []string{bin}, os.Environ()))
}

// filter returns a seccomp program. It reads the number of a system call and, for two calls, the first argument.
func filter() (f []unix.SockFilter) {
	const number, first = 0, 16 // offsets in struct seccomp_data
	load := func(at uint32) {
		f = append(f, unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at})
	}
	jumpIfEqual := func(k uint32, yes, no uint8) {
		f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: yes, Jf: no, K: k})
	}
	ret := func(what uint32) { f = append(f, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: what}) }
	load(number)
	for _, call := range []uint32{unix.SYS_SPLICE, unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_SOCKETPAIR} {
		jumpIfEqual(call, 0, 1)
		ret(unix.SECCOMP_RET_KILL_PROCESS)
	}
	jumpIfEqual(unix.SYS_CLONE3, 0, 1)
	ret(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS))
	jumpIfEqual(unix.SYS_SOCKET, 0, 3)
	load(first)
	jumpIfEqual(unix.AF_UNIX, 0, 1)
	ret(unix.SECCOMP_RET_KILL_PROCESS)
	load(number)
	jumpIfEqual(unix.SYS_CLONE, 0, 3)
	load(first)
	f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 1, K: unix.CLONE_THREAD})
	ret(unix.SECCOMP_RET_KILL_PROCESS)
	ret(unix.SECCOMP_RET_ALLOW)
	return f
}
