// Package experiment runs many scenarios of the model in internal/lab/sim: variants of one base, a sweep over a parameter, and
// several seeds of each. It runs them in parallel, and resumes an interrupted experiment. It also reduces a scenario that breaks a
// rule. Its files are JSON with comments; JSON pointers (RFC 6901) name what a variant changes. "ravenlab run", "sweep" and
// "shrink" use it. Its tests also check how much the proxy's policy serves in the scenarios of lab/.
package experiment

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"ravenwheel/internal/lab/sim"
	"ravenwheel/internal/strictjson"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name     string
	Seeds    int // each variant is run with the seeds from 1 to Seeds
	Variants []Variant
}

// Variant is one scenario of an experiment.
type Variant struct {
	Name       string
	SweepValue float64 // value of the parameter that is swept; 0 without a sweep
	Scenario   sim.Scenario
}

// Bounds of an experiment.
const (
	maxSeeds    = 1000
	maxVariants = 200
)

// document holds the parts of an experiment file.
type document struct {
	base     hujson.Value // the scenario
	seeds    int
	variants hujson.Value // changes to the base, by name of the variant; the zero value if there are none
	sweep    hujson.Value // a JSON pointer with a list of values; the zero value if there is none
}

// Parse reads an experiment: a scenario that may also have the keys "seeds", "variants" and "sweep". It returns the defects of the
// file, or of the first variant whose scenario has any.
func Parse(file string, text []byte) (*Experiment, strictjson.Defects) {
	var probe struct{}
	probed := strictjson.Decode(file, text, &probe)
	if len(probed.Defects) > 0 && !strings.HasPrefix(probed.Defects[0].Reason, "unknown field") {
		return nil, probed.Defects // not JSON
	}
	doc, err := parseDocument(text)
	if err != nil {
		return nil, strictjson.Defects{{File: file, Reason: err.Error()}}
	}
	variants, err := doc.expand(file)
	var defects strictjson.Defects
	switch {
	case errors.As(err, &defects):
		return nil, doc.withFilePlaces(file, text, defects)
	case err != nil:
		return nil, strictjson.Defects{{File: file, Reason: err.Error()}}
	}
	return &Experiment{Name: variants[0].Scenario.Name, Seeds: doc.seeds, Variants: variants}, nil
}

// parseDocument separates the experiment's keys from the scenario's.
func parseDocument(text []byte) (document, error) {
	doc := document{seeds: 1}
	value, err := hujson.Parse(text)
	if err != nil {
		return doc, err
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return doc, errors.New("must be an object")
	}
	scenario := object.Members[:0:0]
	for _, member := range object.Members {
		switch memberName(member) {
		case "seeds":
			doc.seeds, err = strconv.Atoi(strings.TrimSpace(member.Value.String()))
			if err != nil || doc.seeds < 1 || doc.seeds > maxSeeds {
				return doc, fmt.Errorf("seeds is not from 1 to %d", maxSeeds)
			}
		case "variants":
			doc.variants = member.Value
		case "sweep":
			doc.sweep = member.Value
		default:
			scenario = append(scenario, member)
		}
	}
	doc.base = hujson.Value{Value: &hujson.Object{Members: scenario}}
	return doc, nil
}

// memberName returns the name of a member of a JSON object.
func memberName(member hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

// withFilePlaces returns the defects of a variant's scenario. If the file has only a scenario, they are the defects of the file
// itself, with their correct places. Otherwise the places are those in the scenario that was made from the base and the variant's
// changes.
func (d document) withFilePlaces(file string, text []byte, defects strictjson.Defects) strictjson.Defects {
	if len(d.variants.Pack()) == 0 && len(d.sweep.Pack()) == 0 && d.seeds == 1 {
		_, defects = sim.Parse(file, text)
	}
	return defects
}
