package upstream

import (
	"net"

	"ravenwheel/internal/resp"
)

const (
	// answerStallTimeout, in ms: an answer of which nothing arrives for so long is broken off.
	answerStallTimeout = 300
	// answerTimeout, in ms: an answer that is not complete so long after its first byte is broken off, even if bytes
	// keep arriving.
	answerTimeout = 3000
)

// readAnswers is the connection's reader. It ends with the connection, or with an answer that cannot be read.
func (cn *conn) readAnswers(nc net.Conn) {
	buffer := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buffer.Next(answerReader{cn, nc, &buffer})
		if err == nil {
			err = cn.handleAnswer(parts, buffer.Buffered() > 0)
		}
		if err != nil {
			cn.mu.Lock()
			cn.closing, cn.broken = true, true // before the close is visible, so that no call is added after it
			cn.mu.Unlock()
			nc.Close()
			cn.signal() // the writer, which knows what was written, ends the calls
			return
		}
	}
}

// answerReader reads for a connection's buffer and records when more of an incomplete answer is awaited.
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

// markPartialAnswer records that bytes of an incomplete answer have arrived. The caller holds the lock.
func (cn *conn) markPartialAnswer() {
	if cn.partialAnswerAt = cn.now(); cn.partialAnswerSince == 0 {
		cn.partialAnswerSince = cn.partialAnswerAt
	}
	if !cn.stallTimerSet {
		cn.stallTimerSet = true
		cn.pool.pools.clock.After(answerStallTimeout, cn.checkStall)
	}
}

// checkStall closes a connection whose answer has stalled: no answer can follow it.
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

// handleAnswer ends the call that an answer is for. An answer to a call that is done, or a second one, is counted and
// dropped. more reports that bytes of a further answer have arrived.
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
