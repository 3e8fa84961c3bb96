package handover

import "os"

// maxLearnedSize is the largest size of the learned state's file, in bytes. A larger file is not read.
const maxLearnedSize = 4 << 20

// restoreLearnedState restores the learned state that the previous owner has saved, and removes its file. It only logs an error, as
// the process can serve without that state.
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
		c.opt.Log.Warn("handover").Err(err).Msg("previous owner's learned state can't be restored; starting without it")
	}
}

// saveLearnedState saves the learned state for the next owner. It only logs an error, as the next owner can serve without that
// state.
func (c *Coordinator) saveLearnedState() {
	path := c.basePath + learnedExtension
	_ = os.Remove(path) // the file of an earlier owner, if no process restored it
	if c.learned == nil {
		return
	}
	encoded, err := c.learned.LearnedState()
	if err == nil {
		err = os.WriteFile(path, encoded, 0o600)
	}
	if err != nil {
		c.opt.Log.Warn("handover").Err(err).Msg("learned state can't be saved; the next owner starts without it")
	}
}
