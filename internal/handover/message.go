package handover

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// messageKind says what a message is.
type messageKind string

const (
	kindHello           messageKind = "hello"   // successor to owner: asks to follow, with its protocol version
	kindState           messageKind = "state"   // owner to successor: the generation, drains and restored servers
	kindRejected        messageKind = "turn"    // owner to successor: no successor is accepted
	kindTransferRequest messageKind = "take"    // successor to owner: it is prepared to own
	kindGrant           messageKind = "given"   // owner to successor: with the listener and the lock as descriptors
	kindRevoked         messageKind = "revoked" // owner to successor: they are taken back
	kindServing         messageKind = "serves"  // successor to owner: it owns and serves
	kindDrain           messageKind = "out"     // either way: an operator's drain of a server, or its end
)

// message is what two processes send each other. Which fields count depends on the kind.
type message struct {
	Kind            messageKind        `json:"kind"`
	ProtocolVersion int                `json:"revision,omitempty"`
	Generation      uint64             `json:"generation,omitempty"`
	Drained         []string           `json:"out,omitempty"`   // servers that operators drain
	Restored        map[string]float64 `json:"back,omitempty"`  // servers restored lately, and when in ms
	Epoch           float64            `json:"epoch,omitempty"` // of the clock that the times in Restored are on
	ID              string             `json:"id,omitempty"`    // of a drain: the server
	Active          bool               `json:"on,omitempty"`    // of a drain
	Busy            bool               `json:"busy,omitempty"`  // of a rejection: only for now
}

const (
	maxMessageSize = 64 << 10 // bytes
	maxDescriptors = 4        // in a message
	descriptorSize = 4        // bytes
	writeTimeout   = time.Second
)

// errMalformedMessage says that a message was truncated or is not JSON.
var errMalformedMessage = errors.New("malformed message")

// sendOrClose sends a message, and closes the connection if that fails: its reader then handles the loss.
func sendOrClose(conn *net.UnixConn, m message) {
	if conn != nil && send(conn, m, nil) != nil {
		conn.Close()
	}
}

// send sends a message as one packet, with descriptors.
func send(conn *net.UnixConn, m message, descriptors []int) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var rights []byte
	if len(descriptors) > 0 {
		rights = unix.UnixRights(descriptors...)
	}
	_, _, err = conn.WriteMsgUnix(text, rights, nil)
	return err
}

// receive reads a message. The caller owns the descriptors that came with it.
func receive(conn *net.UnixConn) (m message, descriptors []int, err error) {
	text, rights := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*descriptorSize))
	n, rightsSize, flags, _, err := conn.ReadMsgUnix(text, rights)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return m, nil, err
	}
	descriptors = parseDescriptors(rights[:rightsSize])
	if flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 || json.Unmarshal(text[:n], &m) != nil {
		closeDescriptors(descriptors)
		return m, nil, errMalformedMessage
	}
	return m, descriptors, nil
}

// parseDescriptors returns the descriptors in a packet's control data, set to be closed on exec.
func parseDescriptors(rights []byte) (descriptors []int) {
	controls, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, control := range controls {
		if parsed, err := unix.ParseUnixRights(&control); err == nil {
			descriptors = append(descriptors, parsed...)
		}
	}
	for _, descriptor := range descriptors {
		unix.CloseOnExec(descriptor)
	}
	return descriptors
}

func closeDescriptors(descriptors []int) {
	for _, descriptor := range descriptors {
		_ = unix.Close(descriptor)
	}
}
