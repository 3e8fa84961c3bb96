package handover

import "os"

// maxLearnedSize bounds the file of the learned state, in bytes.
const maxLearnedSize = 4 << 20

// restoreLearnedState restores what the previous owner has saved, and removes its file. A failure is logged: the process can
// serve without it.
func (c *Coordinator) restoreLearnedState() {
	path := c.basePath + learnedExtension
	defer os.Remove(path)
	info, err := os.Stat(path)
	if err != nil || c.learned == nil || info.Size() > maxLearnedSize {
		return
	}
	encoded, err := os.ReadFile(path)
	if err == nil {
		err = c.learned.RestoreLearnedState(encoded)
	}
	if err != nil {
		c.opt.Log.Warn("handover").Err(err).Msg("previous owner's learned state is not used")
	}
}

// saveLearnedState saves the learned state for the next owner. A failure is logged.
func (c *Coordinator) saveLearnedState() {
	path := c.basePath + learnedExtension
	_ = os.Remove(path) // of an earlier owner, which no process restored
	if c.learned == nil {
		return
	}
	encoded, err := c.learned.LearnedState()
	if err == nil {
		err = os.WriteFile(path, encoded, 0o600)
	}
	if err != nil {
		c.opt.Log.Warn("handover").Err(err).Msg("learned state could not be saved for the next owner")
	}
}
