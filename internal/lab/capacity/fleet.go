package capacity

import (
	"errors"
	"fmt"
)

// Fleet is what the formulas work from.
type Fleet struct {
	Target
	Assumptions
	RecordingSet
}

// voters is the number of the store's voting members, which have machines of their own. The other control machines are
// distributors.
const voters = 5

// Distributors is the number of control machines that are distributors.
func (f Fleet) Distributors() float64 { return f.ControlMachines - voters }

// requiredRecordings are those that formulas name.
var requiredRecordings = []string{
	"policy/memory", "policy/change", "policy/purge-memory", "policy/purge", "ledger/memory", "ledger/change", "ledger/list",
	"replica/purge-memory", "replica/purge-snapshot", "replica/purge-apply", "replica/purge-entry", "replica/results-memory",
	"replica/results-snapshot", "replica/list-memory", "replica/list-entry", "replica/list-apply", "replica/revision-memory",
	"replica/revision-snapshot", "replica/snapshot-write", "view/memory", "view/merge", "view/digest", "membership/whole-state",
	"journal/purges", "journal/memory", "journal/purge", "raft/leader-bytes", "raft/follower-bytes", "raft/processor",
	"lists/board", "tools/servers", "tools/members",
}

// LoadFleet reads the recordings of a directory for the operators' target. The error joins what is wrong with recordings, or one for
// each that is missing.
func LoadFleet(dir string) (Fleet, error) {
	recordings, err := ReadRecordings(dir)
	if err != nil {
		return Fleet{}, err
	}
	var missing []error
	for _, name := range requiredRecordings {
		if _, known := recordings[name]; !known {
			missing = append(missing, fmt.Errorf("%s: no recording %q", dir, name))
		}
	}
	return Fleet{OperatorTarget, DefaultAssumptions, recordings}, errors.Join(missing...)
}
