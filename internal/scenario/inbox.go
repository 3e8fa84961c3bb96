package scenario

import (
	"errors"
	"net"
	"strings"
	"time"

	"ravenwheel/internal/resp"
)

const (
	// receiveTimeout bounds how long an actor waits for a message. It does not measure speed.
	receiveTimeout = 10 * time.Second
	// inboxSize is how many messages may wait to be received.
	inboxSize = 100
)

// errNoMessage is the error if no message arrives within receiveTimeout.
var errNoMessage = errors.New("no message arrived in time")

// message is what an actor receives.
type message struct {
	words []string
	conn  net.Conn // nil: it did not arrive on a connection
}

// inbox holds messages in the order in which they arrived.
type inbox chan message

func newInbox() inbox { return make(inbox, inboxSize) }

// next returns the next message.
func (in inbox) next() (message, error) {
	select {
	case m := <-in:
		return m, nil
	case <-time.After(receiveTimeout):
		return message{}, errNoMessage
	}
}

// readFrames puts the frames of a connection into the inbox until the connection ends. An empty part of a frame becomes "-".
func (in inbox) readFrames(nc net.Conn) {
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(nc)
		if err != nil {
			in <- message{words: []string{"closed"}, conn: nc}
			return
		}
		m := message{conn: nc}
		for _, part := range parts {
			if len(part) == 0 {
				part = []byte("-")
			}
			m.words = append(m.words, string(part))
		}
		in <- m
	}
}

// encode returns the bytes to send for words: one frame that holds the words. Two first words ask for bytes that need not be a frame:
// "bytes TEXT" for the bytes of TEXT, and "line TEXT" for those followed by CR LF. In both, \r\n in TEXT stands for CR LF.
func encode(words []string) []byte {
	if words[0] != "line" && words[0] != "bytes" {
		return resp.AppendFrame(nil, words...)
	}
	b := []byte(strings.ReplaceAll(words[1], `\r\n`, "\r\n"))
	if words[0] == "line" {
		b = append(b, "\r\n"...)
	}
	return b
}
