package resp

import (
	"ravenwheel/internal/core"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/resp"
)

const (
	// maxPieceBytes bounds a single write: a client that reads slowly shows that it reads once a piece is written.
	maxPieceBytes = 64 << 10
	// maxUnreserved bounds the answers without a body that a connection has queued while there is no memory for them: more than one
	// for each request that may be open.
	maxUnreserved = 4 << 10
	// maxJoinedBytes is the size up to which answers are joined and written together.
	maxJoinedBytes = 4 << 10
)

// output is a part of the answers to write.
type output struct {
	data   []byte
	memory *memory.Reservation // of the object that data belongs to; nil: data is counted by itself
	bytes  int64               // counted in client.heldBytes
}

// sendWord sends an answer of one word.
func (cl *client) sendWord(tag, word string) {
	cl.send(resp.AppendFrame(nil, tag, word), core.Answer{})
}

// sendAnswer sends the final answer to a request that is not open.
func (cl *client) sendAnswer(tag string, answer core.Answer) { cl.send(encodeAnswer(tag, answer)) }

// finishRequest sends the final answer to an open request, and ends the reservation of its tag. Both happen at once: in between, the
// connection would be idle, and could be ended without the answer.
func (cl *client) finishRequest(tag string, answer core.Answer) {
	head, rest := encodeAnswer(tag, answer)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.removeTag(tag)
	cl.sendLocked(head, rest)
}

// encodeAnswer returns the frame of a final answer, and what is left of the answer: a large body, which follows the frame's head.
func encodeAnswer(tag string, answer core.Answer) (head []byte, rest core.Answer) {
	head = appendAnswerHead(nil, tag, answer)
	switch {
	case !hasBody(answer):
		answer.Body = nil
	case len(answer.Body) <= maxJoinedBytes:
		head = append(append(head, answer.Body...), resp.BodyEnd...)
		answer.Memory.Release()
		answer.Body, answer.Memory = nil, nil
	}
	return head, answer
}

// send queues one complete answer, which is head and, if it has a body of its own, the body and its end. A client that leaves too
// many bytes of answers unread is disconnected.
func (cl *client) send(head []byte, answer core.Answer) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.sendLocked(head, answer)
}

// sendLocked is send. Called with the client's lock held.
func (cl *client) sendLocked(head []byte, answer core.Answer) {
	if cl.closed {
		answer.Memory.Release()
		return
	}
	if cl.outputBytes > maxOutBytes {
		answer.Memory.Release()
		go cl.conn.abortFor(ClosedForUnreadAnswer) // the reading goroutine then fails to read, and closes the client
		return
	}
	if !cl.queueHead(head) {
		answer.Memory.Release()
		go cl.conn.abortFor(ClosedForMemory)
		return
	}
	if answer.Body != nil {
		cl.queue(output{data: answer.Body, memory: answer.Memory, bytes: int64(len(answer.Body))})
		cl.queueHead([]byte(resp.BodyEnd))
	}
	if !cl.writing {
		cl.writing = true
		go cl.writeLoop()
	}
}

// queueHead queues bytes that are not the body of an answer. A few need no reservation: they are what a client that keeps to the
// protocol can have. ok is false if there is no memory for those of a client that does not read. Called with the client's lock held.
func (cl *client) queueHead(b []byte) (ok bool) {
	reserved := int64(len(b))
	if !cl.front.memory.TryReserve(memory.Answers, reserved) {
		if cl.unreserved += len(b); cl.unreserved > maxUnreserved {
			return false
		}
		reserved = 0
	}
	last := len(cl.output) - 1
	if last <= 0 || cl.output[last].memory != nil || len(cl.output[last].data) >= maxJoinedBytes {
		cl.queue(output{data: b, bytes: reserved})
		return true
	}
	joined := &cl.output[last]
	joined.data = append(joined.data, b...)
	joined.bytes += reserved
	cl.hold(reserved)
	cl.countQueued(len(b))
	return true
}

// queue queues a part of an answer. Called with the client's lock held.
func (cl *client) queue(o output) {
	cl.output = append(cl.output, o)
	cl.countQueued(len(o.data))
	cl.hold(o.bytes)
}

func (cl *client) countQueued(bytes int) {
	cl.outputBytes += bytes
	cl.front.pendingWork.Add(int64(bytes))
}

// dropOutput ends the reservation of a part that is written, or that will not be. Called with the client's lock held.
func (cl *client) dropOutput(o *output) {
	if o.memory != nil {
		o.memory.Release()
	} else {
		cl.front.memory.Release(memory.Answers, o.bytes)
	}
	cl.hold(-o.bytes)
	cl.countQueued(-len(o.data))
	*o = output{}
}

// writeLoop writes answers until none is left, the client is closed or writing fails.
func (cl *client) writeLoop() {
	for piece := cl.nextPiece(0); len(piece) > 0; piece = cl.nextPiece(len(piece)) {
		if _, err := cl.conn.Write(piece); err != nil {
			cl.conn.abortFor(ClosedByError)
			return
		}
	}
	cl.front.closeIfDrained(cl)
}

// nextPiece removes what was written from the output, and returns what is to be written next; nothing: the writer is done. It
// records when the write begins.
func (cl *client) nextPiece(written int) []byte {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.writingSince = 0
	if len(cl.output) > 0 {
		cl.removeWritten(written)
	}
	if len(cl.output) == 0 {
		cl.output, cl.writing, cl.unreserved = nil, false, 0
		return nil
	}
	cl.writingSince = cl.front.clock.Now()
	data := cl.output[0].data
	return data[:min(len(data), maxPieceBytes)]
}

// removeWritten removes the first bytes of the output. Called with the client's lock held.
func (cl *client) removeWritten(n int) {
	first := &cl.output[0]
	first.data = first.data[n:]
	cl.countQueued(-n)
	if len(first.data) == 0 {
		cl.dropOutput(first)
		cl.output = cl.output[1:]
	}
}

// writeTimedOut reports whether the write in progress has waited too long for the client to read.
func (cl *client) writeTimedOut(now float64) bool { return cl.writingFor(now) >= writeTimeout }

// writingFor returns for how long, in ms, the write in progress has waited for the client to read.
func (cl *client) writingFor(now float64) float64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.writingSince == 0 {
		return 0
	}
	return now - cl.writingSince
}
