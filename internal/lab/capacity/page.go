package capacity

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Page returns the text of docs/CAPACITY.md for the recordings of a directory.
func Page(dir string) ([]byte, error) {
	f, err := LoadFleet(dir)
	if err != nil {
		return nil, err
	}
	return f.Page(), nil
}

// Page returns the page of a fleet.
func (f Fleet) Page() []byte {
	p := &pageWriter{Fleet: f}
	p.introduction()
	p.findings()
	p.budgetTables()
	p.derivations()
	p.machines()
	p.mechanisms()
	p.paths()
	p.placement()
	p.roleCosts()
	p.assumptions()
	p.recordings()
	return p.out.Bytes()
}

// pageWriter writes the sections of a page in Markdown.
type pageWriter struct {
	Fleet
	out bytes.Buffer
}

// line writes a formatted line.
func (p *pageWriter) line(format string, args ...any) { fmt.Fprintf(&p.out, format+"\n", args...) }

// tableHead starts a table.
func (p *pageWriter) tableHead(columns ...string) {
	p.tableRow(columns...)
	p.tableRow(slices.Repeat([]string{"---"}, len(columns))...)
}

func (p *pageWriter) tableRow(cells ...string) { p.line("| %s |", strings.Join(cells, " | ")) }

// tableEnd ends a table.
func (p *pageWriter) tableEnd() { p.line("") }

// capitalize converts the first letter of a heading to upper case.
func capitalize(text string) string { return strings.ToUpper(text[:1]) + text[1:] }

// FirstDifference returns the number, from 1, of the first line in which two pages differ, and whether they differ.
func FirstDifference(got, want []byte) (line int, differs bool) {
	if bytes.Equal(got, want) {
		return 0, false
	}
	a, b := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for line = range min(len(a), len(b)) {
		if !bytes.Equal(a[line], b[line]) {
			return line + 1, true
		}
	}
	return min(len(a), len(b)) + 1, true
}
