package storestate

import "slices"

// maxRevisions is how many revisions of the configuration are stored.
const maxRevisions = 100

// Revision is one version of the configuration.
type Revision struct {
	Number     uint64  `cbor:"1,keyasint" json:"revision"`
	CreatedAt  float64 `cbor:"2,keyasint" json:"at_ms"`
	Author     string  `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Text       string  `cbor:"4,keyasint" json:"text"`
	RollbackOf uint64  `cbor:"5,keyasint,omitempty" json:"of,omitempty"` // earlier revision with the same text; 0: none
}

// Revision returns the current revision. Its number is 0 before the first one.
func (s *State) Revision() Revision {
	if len(s.Revisions) == 0 {
		return Revision{}
	}
	return s.Revisions[len(s.Revisions)-1]
}

// RevisionByNumber returns a revision, and whether it is still stored.
func (s *State) RevisionByNumber(number uint64) (Revision, bool) {
	for _, r := range s.Revisions {
		if r.Number == number {
			return r, true
		}
	}
	return Revision{}, false
}

// setConfig makes a text the next revision if the current revision is the one that the text was derived from.
func (s *State) setConfig(c Change) Result {
	current := s.Revision()
	if c.BaseRevision != current.Number {
		return Result{Verdict: Conflict, Revision: current.Number}
	}
	next := Revision{Number: current.Number + 1, CreatedAt: c.ProposedAt, Author: c.Author, Text: c.Text}
	for _, r := range s.Revisions {
		if r.Text == c.Text && r.Number != current.Number {
			next.RollbackOf = r.Number
		}
	}
	if s.Revisions = append(s.Revisions, next); len(s.Revisions) > maxRevisions {
		s.Revisions = slices.Clone(s.Revisions[len(s.Revisions)-maxRevisions:])
	}
	s.setFactIndex(SetConfig, "")
	return Result{Revision: next.Number}
}
