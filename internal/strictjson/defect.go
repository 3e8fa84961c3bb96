package strictjson

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Defect is one reason why a file is invalid, with its position.
type Defect struct {
	File      string
	Line, Col int // from 1; 0: the defect has no position
	Reason    string
}

// Error returns the defect as one line: file:line:col: reason.
func (d Defect) Error() string {
	if d.Line == 0 {
		return d.File + ": " + d.Reason
	}
	return fmt.Sprintf("%s:%d:%d: %s", d.File, d.Line, d.Col, d.Reason)
}

// Defects are the defects of one or more files.
type Defects []Defect

// Error returns the defects, one a line.
func (d Defects) Error() string {
	lines := make([]string, len(d))
	for i, defect := range d {
		lines[i] = defect.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the defects as an error, or nil if there are none.
func (d Defects) Err() error {
	if len(d) == 0 {
		return nil
	}
	return d
}

// Sort sorts the defects by file and position. Defects at the same position keep their order.
func (d Defects) Sort() {
	slices.SortStableFunc(d, func(a, b Defect) int {
		return cmp.Or(cmp.Compare(a.File, b.File), a.Line-b.Line, a.Col-b.Col)
	})
}
