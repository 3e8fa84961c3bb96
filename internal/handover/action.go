package handover

import (
	"errors"

	decide "ravenwheel/internal/decide/handover"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// do carries out one action; what it comes to is the next event, or nil.
func (h *Hand) do(a decide.Action) decide.Event {
	switch a := a.(type) {
	case decide.TryLock:
		return decide.Locked{OK: h.tryLock(), Generation: h.generation()}
	case decide.Meet:
		return decide.Met{OK: h.seek()}
	case decide.Listen:
		if h.ln == nil {
			if err := h.listen(); err != nil {
				h.fail(err)
			}
		}
	case decide.Prepare:
		h.opt.Shares(!a.Alone)
		closeOnce(h.told)
	case decide.Ask:
		h.say(h.owner, message{Kind: "take"})
	case decide.Claim:
		kept, err := h.record.claim(a.Generation)
		switch {
		case errors.Is(err, errFenced), errors.Is(err, errHeld):
			return decide.Claimed{Generation: kept}
		case err != nil: // a full disk keeps nobody from serving
			h.opt.Log.Error("handover").Err(err).Msg("the owner can't be kept: what operators tell is lost with this process")
		}
		return decide.Claimed{OK: true, Generation: a.Generation}
	case decide.Own:
		if err := h.publish(); err != nil {
			h.opt.Log.Error("handover").Err(err).Msg("no other process can take over from this one")
		}
		closeOnce(h.owns)
		h.opt.Owns(true)
		h.opt.Log.Info("handover").Uint64("generation", a.Generation).Msg("this process owns the address")
	case decide.Accept:
		h.opt.Accept(a.On)
	case decide.Say:
		h.say(h.owner, message{Kind: "serves"})
	case decide.Offer:
		h.opt.Shares(true)
		epoch, _ := h.opt.Clock.Epoch()
		h.say(h.peers[a.To], message{
			Kind: "state", Revision: decide.Revision, Generation: h.machine.Generation(), Out: names(h.record.out()),
			Back: h.record.backNames(), Epoch: epoch,
		})
	case decide.Turn:
		h.say(h.peers[a.To], message{Kind: "turn", Busy: a.Busy})
	case decide.Grant:
		h.opt.Owns(false)
		h.grant(h.peers[a.To])
	case decide.Revoke:
		h.say(h.peers[a.To], message{Kind: "revoked"})
		h.drop(a.To)
	case decide.Alone:
		h.opt.Shares(false)
	case decide.Stop:
		h.opt.Log.Warn("handover").Str("why", a.Why).Msg("this process steps back")
		h.opt.Stop(a.Why)
	case decide.Wake:
		h.wake()
		h.wake = h.opt.Clock.After(a.After, func() { h.tell(decide.Tick{}) })
	}
	return nil
}

func names(list []policy.CacheID) (out []string) {
	for _, id := range list {
		out = append(out, serverlist.FormatID(id))
	}
	return out
}

// generation is what is kept of the owner before.
func (h *Hand) generation() uint64 {
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	k, _ := h.record.read()
	return k.Generation
}
