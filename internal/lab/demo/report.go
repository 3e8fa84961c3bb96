package demo

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
)

// ruleSlack is the Slack of the rules, in ms.
const ruleSlack = 50

// roleNames are the names of the roles, indexed by fleet.Role.
var roleNames = []string{"cache", "parent", "origin"}

// ViolationsError lists the violations of rules.
type ViolationsError struct{ Violations []string }

// Error implements error.
func (e ViolationsError) Error() string {
	return fmt.Sprintf("%d violations of rules:\n%s", len(e.Violations), strings.Join(e.Violations, "\n"))
}

// report prints what clients and servers observed. It returns a ViolationsError if there were violations of rules.
func (d *demonstration) report() error {
	w := tabwriter.NewWriter(d.options.Out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nclass\trequested\tserved\trejected\tfailed\tlost\tretried\tp50 ms\tp99 ms\t")
	results := d.client.Results()
	for _, class := range d.operator.Classes {
		r := results[class.Name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", class.Name, r.Requested, r.Served, r.Rejected, r.Failed, r.Lost, r.Retried,
			float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000)
	}
	fmt.Fprintln(w, "\nserver\trole\tattempts\tserved\tnamed as source\tprobes\t")
	for _, count := range d.fleet.Counts() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t\n", serverlist.FormatID(count.Server), roleNames[count.Role],
			count.Attempts, count.Served, count.NamedAsSource, count.Probes)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	violations := d.violations()
	fmt.Fprintf(d.options.Out, "\n%d different writes ran; violations of rules, as observed by servers and clients: %d\n",
		d.fleet.WritesRun(), len(violations))
	if len(violations) > 0 {
		return ViolationsError{violations}
	}
	return nil
}

// violations returns, as text, the violations of rules that servers and clients observed.
func (d *demonstration) violations() []string {
	rules := fleet.Rules{Drain: d.operator.Site.DrainGraceMs, Purge: d.operator.Site.PurgeGraceMs, Slack: ruleSlack}
	violations := rules.Violations(d.fleet.Observations(), d.notifications)
	for _, id := range d.fleet.DuplicateWrites() {
		violations = append(violations, "a write ran twice: "+id)
	}
	return append(violations, d.client.Violations()...)
}
