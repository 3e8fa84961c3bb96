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
func (k *conn) readAnswers(nc net.Conn) {
	buffer := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buffer.Next(answerReader{k, nc, &buffer})
		if err == nil {
			err = k.handleAnswer(parts, buffer.Buffered() > 0)
		}
		if err != nil {
			k.mu.Lock()
			k.closing, k.broken = true, true // before the close is visible, so that no call is added after it
			k.mu.Unlock()
			nc.Close()
			k.signal() // the writer, which knows what was written, ends the calls
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
func (k *conn) markPartialAnswer() {
	if k.partialAnswerAt = k.now(); k.partialAnswerSince == 0 {
		k.partialAnswerSince = k.partialAnswerAt
	}
	if !k.stallTimerSet {
		k.stallTimerSet = true
		k.pool.pools.clock.After(answerStallTimeout, k.checkStall)
	}
}

// checkStall closes a connection whose answer has stalled: no answer can follow it.
func (k *conn) checkStall() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.partialAnswerAt == 0 {
		k.stallTimerSet = false
		return
	}
	stallsAt := min(k.partialAnswerAt+answerStallTimeout, k.partialAnswerSince+answerTimeout)
	if left := stallsAt - k.now(); left > 0 {
		k.pool.pools.clock.After(left, k.checkStall)
		return
	}
	k.socket.Close() // the reader ends the connection
}

// handleAnswer ends the call that an answer is for. An answer to a call that is done, or a second one, is counted and
// dropped. more reports that bytes of a further answer have arrived.
func (k *conn) handleAnswer(parts [][]byte, more bool) error {
	id, outcome, err := decodeAnswer(parts)
	if err != nil {
		return err
	}
	k.mu.Lock()
	c := k.calls[id]
	known := c != nil && c.written
	if known {
		c.done = true
		delete(k.calls, id)
	} else {
		k.pool.pools.LateAnswers.Add(1)
	}
	now := k.now()
	k.lastAnswer, k.lastUsed, k.unansweredSince = now, now, now
	k.partialAnswerAt, k.partialAnswerSince = 0, 0
	if more {
		k.markPartialAnswer()
	}
	if k.closing {
		k.signal()
	}
	k.mu.Unlock()
	if known {
		c.finish(outcome)
	}
	return nil
}
