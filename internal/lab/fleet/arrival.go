package fleet

import (
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"ravenwheel/internal/resp"
)

// arrivalReader reads frames from a connection, and tells when the first byte of each arrived at the machine. A busy process may read
// it long after that.
type arrivalReader struct {
	frames  resp.Buffer
	nc      net.Conn
	raw     syscall.RawConn
	control [timestampSpace]byte
	began   time.Time // when the first byte of the frame arrived; zero: it is not read yet
	last    time.Time // when the last byte that was read arrived
}

// timestampSpace is the size of a time of arrival in the control data of a socket.
const timestampSpace = unix.SizeofCmsghdr + int(unsafe.Sizeof(unix.Timespec{}))

func newArrivalReader(nc net.Conn) (*arrivalReader, error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	if err != nil {
		return nil, err
	}
	return &arrivalReader{frames: resp.Buffer{MaxFrameSize: resp.MaxResponseSize}, nc: nc, raw: raw}, optionErr
}

// next returns the parts of the next frame, and when its first byte arrived.
func (r *arrivalReader) next() (parts [][]byte, began time.Time, err error) {
	r.began = time.Time{}
	if r.frames.Buffered() > 0 {
		r.began = r.last
	}
	parts, _, err = r.frames.Next(r)
	return parts, r.began, err
}

// Read implements io.Reader.
func (r *arrivalReader) Read(p []byte) (n int, err error) {
	var controlSize int
	rawErr := r.raw.Read(func(fd uintptr) (done bool) {
		n, controlSize, _, _, err = unix.Recvmsg(int(fd), p, r.control[:], 0)
		return err != unix.EAGAIN && err != unix.EINTR
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	r.last = arrivalOf(r.control[:controlSize])
	if r.began.IsZero() {
		r.began = r.last
	}
	return n, nil
}

// arrivalOf returns the time of arrival in the control data of bytes that were read; without one, the present time.
func arrivalOf(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Now()
	}
	for _, message := range messages {
		if message.Header.Type == unix.SO_TIMESTAMPNS && len(message.Data) >= int(unsafe.Sizeof(unix.Timespec{})) {
			return time.Unix((*unix.Timespec)(unsafe.Pointer(&message.Data[0])).Unix())
		}
	}
	return time.Now()
}
