package upstream

import (
	"bytes"
	"errors"
	"net"
	"runtime"

	"ravenwheel/internal/core"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/resp"
)

const (
	// answerStallTimeout, in ms, is how long the next bytes of an incomplete answer may take. After that the connection is closed.
	answerStallTimeout = 300
	// answerTimeout, in ms, is how long after its first byte an answer must be complete. After that the connection is closed even
	// if bytes keep arriving.
	answerTimeout = 3000
)

// chunks is what connections are read into. Most answers are read at once.
var chunks = resp.NewChunks(64 << 10)

// readAnswers is the connection's reader. It returns when the connection is closed or an answer cannot be read.
func (cn *conn) readAnswers(nc net.Conn) {
	answers := resp.Assembler{MaxFrameSize: resp.MaxResponseSize, Reserve: cn.reserveAnswer, Release: cn.releaseAnswer}
	source := resp.NewSource(nc, chunks, func(chunk []byte) error { return cn.handleChunk(&answers, chunk) })
	for {
		err := source.Read()
		if err == nil {
			runtime.Gosched() // a server that never stops sending must not delay others
			continue
		}
		answers.Drop()
		cn.mu.Lock()
		cn.closing, cn.broken = true, true // before the socket is closed, so that no call is added after that
		cn.mu.Unlock()
		nc.Close()
		cn.signal() // the writer ends the calls, since it knows which of them were written
		return
	}
}

// errNoMemory means that an answer needs memory that was not free while it was wanted.
var errNoMemory = errors.New("upstream: no memory for an answer")

// handleChunk handles bytes that have arrived. An error ends the connection.
func (cn *conn) handleChunk(answers *resp.Assembler, chunk []byte) error {
	for {
		frame, rest, ok, err := answers.Next(chunk)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		if frame.Skipped {
			return errNoMemory
		}
		if err := cn.handleAnswer(answers, frame, len(rest) > 0); err != nil {
			return err
		}
		chunk = rest
	}
	if answers.HasPartial() {
		cn.mu.Lock()
		cn.markPartialAnswer()
		cn.mu.Unlock()
	}
	return nil
}

// reserveAnswer reserves memory for a part of an answer, and waits for it while calls are open that an answer may belong to. While
// it waits, the answer has not stalled.
func (cn *conn) reserveAnswer(bytes int) bool {
	account := cn.limits().Memory
	if account.TryReserve(memory.Answers, int64(bytes)) {
		return true
	}
	cn.setReadPaused(true)
	defer cn.setReadPaused(false)
	return account.ReserveWaiting(memory.Answers, int64(bytes), cn.awaitsAnswer)
}

func (cn *conn) releaseAnswer(bytes int) { cn.limits().Memory.Release(memory.Answers, int64(bytes)) }

// setReadPaused records that reading pauses, or that it goes on and the time of a stalled answer starts anew.
func (cn *conn) setReadPaused(paused bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readPaused = paused
	if now := cn.now(); !paused && cn.partialAnswerAt > 0 {
		cn.partialAnswerAt, cn.partialAnswerSince = now, now
	}
}

// awaitsAnswer reports whether a call is open.
func (cn *conn) awaitsAnswer() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return len(cn.calls) > 0 && !cn.broken
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
	if cn.readPaused {
		cn.pool.pools.clock.After(answerStallTimeout, cn.checkStall)
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
func (cn *conn) handleAnswer(answers *resp.Assembler, frame resp.Frame, more bool) error {
	id, outcome, err := decodeAnswer(frame.Parts)
	if err != nil {
		return err
	}
	if cn.isAwaited(id) {
		if err := cn.keepBody(answers, frame, &outcome); err != nil {
			return err
		}
	}
	cn.mu.Lock()
	c := cn.calls[id]
	known := c != nil && c.written
	if known {
		cn.finish(c)
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
	if !known {
		outcome.Memory.Release()
		return nil
	}
	c.reportOutcome(outcome)
	return nil
}

// isAwaited reports whether a call with this id waits for its answer.
func (cn *conn) isAwaited(id string) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	c := cn.calls[id]
	return c != nil && c.written
}

// keepBody makes the outcome's body, a slice of the frame, outlive the frame. A body that is most of a frame's own buffer keeps that
// buffer; any other is copied.
func (cn *conn) keepBody(answers *resp.Assembler, frame resp.Frame, outcome *core.Outcome) error {
	account := cn.limits().Memory
	if len(outcome.Body) == 0 {
		return nil
	}
	if frame.Owned {
		outcome.Memory = account.Adopt(memory.Answers, int64(answers.Detach()))
		return nil
	}
	if !cn.reserveAnswer(len(outcome.Body)) {
		return errNoMemory
	}
	outcome.Body = bytes.Clone(outcome.Body)
	outcome.Memory = account.Adopt(memory.Answers, int64(len(outcome.Body)))
	return nil
}
