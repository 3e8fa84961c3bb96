package experiment

import (
	"errors"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"

	"ravenwheel/internal/lab/sim"
)

// change sets the value at a JSON pointer of a scenario.
type change struct {
	pointer string
	value   string // JSON
}

// plan says how to make a variant's scenario from the base.
type plan struct {
	name       string
	sweepValue float64
	changes    []change
}

// expand makes the scenarios: the base and its variants, each with every value of the sweep. Defects of a scenario are returned
// as strictjson.Defects.
func (d document) expand(file string) ([]Variant, error) {
	plans, err := variantPlans(d.variants)
	if err != nil {
		return nil, err
	}
	if plans, err = sweepPlans(plans, d.sweep); err != nil {
		return nil, err
	}
	if len(plans) > maxVariants {
		return nil, fmt.Errorf("%d variants, but at most %d are allowed", len(plans), maxVariants)
	}
	var variants []Variant
	for _, p := range plans {
		scenario, err := p.apply(d.base)
		if err != nil {
			return nil, err
		}
		parsed, defects := sim.Parse(file, scenario.Pack())
		if defects != nil {
			return nil, defects
		}
		variants = append(variants, Variant{Name: p.name, SweepValue: p.sweepValue, Scenario: parsed})
	}
	return variants, nil
}

// variantPlans returns the plan of the base, which changes nothing, and those of the variants.
func variantPlans(variants hujson.Value) ([]plan, error) {
	plans := []plan{{name: "base"}}
	if variants.Value == nil {
		return plans, nil
	}
	object, ok := variants.Value.(*hujson.Object)
	if !ok {
		return nil, errors.New("variants must be an object")
	}
	for _, member := range object.Members {
		changes, err := parseChanges(member.Value)
		if err != nil {
			return nil, fmt.Errorf("variant %q: %w", memberName(member), err)
		}
		plans = append(plans, plan{name: memberName(member), changes: changes})
	}
	return plans, nil
}

// parseChanges reads an object of JSON pointers and the values to set there.
func parseChanges(value hujson.Value) (changes []change, err error) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, errors.New("must be an object of JSON pointers and values")
	}
	for _, member := range object.Members {
		standard := member.Value.Clone()
		standard.Standardize()
		changes = append(changes, change{pointer: memberName(member), value: string(standard.Pack())})
	}
	return changes, nil
}

// sweepPlans returns one plan for each combination of a plan and a value of the sweep, or the given plans if there is no sweep.
func sweepPlans(plans []plan, sweep hujson.Value) (swept []plan, err error) {
	if sweep.Value == nil {
		return plans, nil
	}
	object, ok := sweep.Value.(*hujson.Object)
	if !ok {
		return nil, errors.New("sweep must be an object")
	}
	for _, member := range object.Members {
		values, ok := member.Value.Value.(*hujson.Array)
		if !ok || len(object.Members) != 1 {
			return nil, errors.New("sweep must have one pointer with a list of values")
		}
		for _, p := range plans {
			for _, value := range values.Elements {
				number, ok := value.Value.(hujson.Literal)
				if !ok || number.Kind() != '0' {
					return nil, errors.New("the values of sweep must be numbers")
				}
				swept = append(swept, p.withSweepValue(memberName(member), number))
			}
		}
	}
	return swept, nil
}

// withSweepValue returns the plan with one more change, which is added to its name.
func (p plan) withSweepValue(pointer string, number hujson.Literal) plan {
	value := number.Float()
	return plan{
		name:       fmt.Sprintf("%s, %s %v", p.name, pointer, value),
		sweepValue: value,
		changes:    append(slices.Clone(p.changes), change{pointer, string(number)}),
	}
}

// apply returns the base with the plan's changes.
func (p plan) apply(base hujson.Value) (hujson.Value, error) {
	scenario := base.Clone()
	for _, c := range p.changes {
		if err := c.apply(&scenario); err != nil {
			return scenario, fmt.Errorf("%s: %s: %w", p.name, c.pointer, err)
		}
	}
	return scenario, nil
}

// apply makes the change. If the scenario leaves out objects that contain the pointer's value, apply adds them as empty objects, so
// that their other keys keep their defaults.
func (c change) apply(scenario *hujson.Value) error {
	for i, char := range c.pointer {
		if parent := c.pointer[:i]; char == '/' && i > 0 && scenario.Find(parent) == nil {
			if err := set(scenario, parent, "{}"); err != nil {
				return err
			}
		}
	}
	return set(scenario, c.pointer, c.value)
}

// set sets the value at a pointer by a JSON patch (RFC 6902).
func set(scenario *hujson.Value, pointer, value string) error {
	return scenario.Patch([]byte(fmt.Sprintf(`[{"op": "add", "path": %q, "value": %s}]`, pointer, value)))
}
