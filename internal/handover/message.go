package handover

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// message is what two processes say to each other. Which fields count is the kind's.
type message struct {
	Kind       string             `json:"kind"`
	Revision   int                `json:"revision,omitempty"`
	Generation uint64             `json:"generation,omitempty"`
	Out        []string           `json:"out,omitempty"`
	Back       map[string]float64 `json:"back,omitempty"`
	Epoch      float64            `json:"epoch,omitempty"` // of the clock that the times in Back are on
	ID         string             `json:"id,omitempty"`
	On         bool               `json:"on,omitempty"`
	Busy       bool               `json:"busy,omitempty"`
}

func shut(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

func (h *Hand) say(to *net.UnixConn, m message) {
	if to != nil && send(to, m, nil) != nil {
		to.Close()
	}
}

func send(nc *net.UnixConn, m message, fds []int) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_ = nc.SetWriteDeadline(time.Now().Add(writeWait))
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	_, _, err = nc.WriteMsgUnix(text, rights, nil)
	return err
}

var errMessage = errors.New("a message that can't be read")

func receive(nc *net.UnixConn) (m message, fds []int, err error) {
	text, rights := make([]byte, mostMessage), make([]byte, unix.CmsgSpace(4*4))
	n, nr, flags, _, err := nc.ReadMsgUnix(text, rights)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return m, nil, err
	}
	if list, perr := unix.ParseSocketControlMessage(rights[:nr]); perr == nil {
		for _, c := range list {
			if got, rerr := unix.ParseUnixRights(&c); rerr == nil {
				fds = append(fds, got...)
			}
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	if flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 || json.Unmarshal(text[:n], &m) != nil {
		shut(fds)
		return m, nil, errMessage
	}
	return m, fds, nil
}
