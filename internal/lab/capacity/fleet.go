package capacity

import (
	"errors"
	"fmt"
)

// Fleet holds the inputs of the formulas: the operators' target, assumptions and recordings.
type Fleet struct {
	Target
	Assumptions
	RecordingSet
}

// voters is the number of the store's voting members. Each runs on a control machine of its own; the other control machines are
// distributors.
const voters = 5

// Distributors is the number of control machines that are distributors.
func (f Fleet) Distributors() float64 { return f.ControlMachines - voters }

// requiredRecordings are the names of the recordings that formulas use.
var requiredRecordings = []string{
	"policy/memory", "policy/change", "policy/purge-memory", "policy/purge", "ledger/memory", "ledger/change", "ledger/list",
	"replica/purge-memory", "replica/purge-snapshot", "replica/purge-apply", "replica/purge-entry", "replica/results-memory",
	"replica/results-snapshot", "replica/list-memory", "replica/list-entry", "replica/list-apply", "replica/revision-memory",
	"replica/revision-snapshot", "replica/snapshot-write", "view/memory", "view/merge", "view/digest", "membership/whole-state",
	"journal/purges", "journal/memory", "journal/purge", "raft/leader-bytes", "raft/follower-bytes", "raft/processor",
	"lists/board", "tools/servers", "tools/members",
}

// LoadFleet returns the fleet of the operators' target with the recordings of a directory. The error joins the faults of all
// recordings or, if these have none, an error for each required recording that is missing.
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
