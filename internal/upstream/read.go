package upstream

import (
	"net"

	"ravenwheel/internal/resp"
)

const (
	// answerStallTimeout, in ms, is how long the next bytes of an incomplete answer may take. After that the connection is closed.
	answerStallTimeout = 300
	// answerTimeout, in ms, is how long after its first byte an answer must be complete. After that the connection is closed even
	// if bytes keep arriving.
	answerTimeout = 3000
)

// readAnswers is the connection's reader. It returns when the connection is closed or an answer cannot be read.
func (cn *conn) readAnswers(nc net.Conn) {
	buffer := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buffer.Next(answerReader{cn, nc, &buffer})
		if err == nil {
			err = cn.handleAnswer(parts, buffer.Buffered() > 0)
		}
		if err != nil {
			cn.mu.Lock()
			cn.closing, cn.broken = true, true // before the socket is closed, so that no call is added after that
			cn.mu.Unlock()
			nc.Close()
			cn.signal() // the writer ends the calls, since it knows which of them were written
			return
		}
	}
}

// answerReader reads from the socket of a connection into buffer. Before each read it records whether an incomplete answer is in
// the buffer.
type answerReader struct {
	conn   *conn
	socket net.Conn
	buffer *resp.Buffer
}

// Read implements io.Reader.
func (r answerReader) Read(p []byte) (int, error) {
	if r.buffer.Buffered() > 0 {
		r.conn.mu.Lock()
		r.conn.markPartialAnswer()
		r.conn.mu.Unlock()
	}
	return r.socket.Read(p)
}

// markPartialAnswer records that bytes of an incomplete answer have arrived. The caller must hold mu.
func (cn *conn) markPartialAnswer() {
	if cn.partialAnswerAt = cn.now(); cn.partialAnswerSince == 0 {
		cn.partialAnswerSince = cn.partialAnswerAt
	}
	if !cn.stallTimerSet {
		cn.stallTimerSet = true
		cn.pool.pools.clock.After(answerStallTimeout, cn.checkStall)
	}
}

// checkStall closes the connection if an answer has stalled, since no other answer can arrive before it is complete. If an answer
// is incomplete but has not stalled, checkStall sets its timer again.
func (cn *conn) checkStall() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.partialAnswerAt == 0 {
		cn.stallTimerSet = false
		return
	}
	stallsAt := min(cn.partialAnswerAt+answerStallTimeout, cn.partialAnswerSince+answerTimeout)
	if left := stallsAt - cn.now(); left > 0 {
		cn.pool.pools.clock.After(left, cn.checkStall)
		return
	}
	cn.socket.Close() // the reader ends the connection
}

// handleAnswer ends the call to which an answer belongs. An answer to a call that is done, such as a second answer, is counted and
// dropped. more says whether bytes of a further answer have arrived.
func (cn *conn) handleAnswer(parts [][]byte, more bool) error {
	id, outcome, err := decodeAnswer(parts)
	if err != nil {
		return err
	}
	cn.mu.Lock()
	c := cn.calls[id]
	known := c != nil && c.written
	if known {
		c.done = true
		delete(cn.calls, id)
	} else {
		cn.pool.pools.LateAnswers.Add(1)
	}
	now := cn.now()
	cn.lastAnswer, cn.lastUsed, cn.unansweredSince = now, now, now
	cn.partialAnswerAt, cn.partialAnswerSince = 0, 0
	if more {
		cn.markPartialAnswer()
	}
	if cn.closing {
		cn.signal()
	}
	cn.mu.Unlock()
	if known {
		c.reportOutcome(outcome)
	}
	return nil
}
