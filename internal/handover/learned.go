package handover

import "os"

// mostLearned bounds the file of what was learned.
const mostLearned = 4 << 20

// inherit takes what the owner before has learned. It is worth much less than a start that fails.
func (h *Hand) inherit() {
	path := h.base + ".learned"
	defer os.Remove(path)
	info, err := os.Stat(path)
	if err != nil || h.known == nil || info.Size() > mostLearned {
		return
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = h.known.RestoreLearnedState(text)
	}
	if err != nil {
		h.opt.Log.Warn("handover").Err(err).Msg("what the owner before has learned is not used")
	}
}

// bequeath leaves what was learned to the next owner.
func (h *Hand) bequeath() {
	path := h.base + ".learned"
	_ = os.Remove(path) // of an earlier one, which nobody took
	if h.known == nil {
		return
	}
	text, err := h.known.LearnedState()
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		h.opt.Log.Warn("handover").Err(err).Msg("what was learned is not passed on")
	}
}
