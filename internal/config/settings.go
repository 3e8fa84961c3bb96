package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// What is taken where the platform's settings do not tell it, as an operator's file has it.
const (
	usualStreams = 32  // attempts on one connection
	usualConnect = 400 // ms until a connection must be up: with none, one that never comes up would be waited for for minutes
)

// told are the settings as far as the proxy itself reads them, or holds them against each other before it starts. A list
// that is absent is nil.
type told struct {
	Zone         float64
	Zones, Kinds []string
	Grades       []grade
	Rules        struct{ DrainGraceUs, ColdFrom, WarmWithinUs, FallMultiple, FallUs float64 }
	Bounds       struct{ StreamsPerConn, MostHeld, MostTries, ConnIdleUs, ConnectTimeoutUs float64 }
	FamilyInfo   struct {
		ClassFreshUs, StaleForUs, ClassStaleWorth, ZoneBalancers, HomeHub, ZoneLinkKbPerS []float64
		InParts, Uncached                                                                 []bool
		RootKind, SecondTierKind                                                          *float64
		FlowKbPerS, PurgeTakesUs, ParentColdFrom, ParentWarmsInUs, ParentBreaksAt         float64
	}
}

type grade struct {
	Name, Effect                                                 string
	TargetUs, DeadlineUs, WindowUs, AimStretch, Worth, LateValue float64
}

var effects = []string{"idempotent", "deduplicated", "at_most_once"}

// check returns the first defect, with its place.
func (t *told) check() error {
	if len(t.Grades) == 0 {
		return errors.New("settings.Grades: there are no classes")
	}
	for i, g := range t.Grades {
		twice := slices.ContainsFunc(t.Grades[:i], func(o grade) bool { return o.Name == g.Name })
		if err := g.check(fmt.Sprintf("settings.Grades[%d]", i), twice); err != nil {
			return err
		}
	}
	if err := t.lists(); err != nil {
		return err
	}
	return t.numbers()
}

// check holds a class against its rules; path is where it stands in the settings.
func (g grade) check(path string, twice bool) error {
	switch {
	case g.Name == "" || twice || strings.ContainsAny(g.Name, " ,=\r\n"):
		return fmt.Errorf("%s.Name: class %q is empty, named twice or can't be written in a field", path, g.Name)
	case !slices.Contains(effects, g.Effect):
		return fmt.Errorf("%s.Effect: %q is none of %s", path, g.Effect, strings.Join(effects, ", "))
	case g.DeadlineUs <= 0:
		return fmt.Errorf("%s.DeadlineUs: %v is not above 0", path, g.DeadlineUs)
	case g.Effect == "deduplicated" && g.WindowUs <= 0:
		return fmt.Errorf("%s.WindowUs: %v is not above 0, and repeats of the class are discarded for so long", path, g.WindowUs)
	}
	return least(path+".", map[string]float64{
		"TargetUs": g.TargetUs, "WindowUs": g.WindowUs, "AimStretch": g.AimStretch, "Worth": g.Worth, "LateValue": g.LateValue,
	})
}

// lists holds the lists against those that they go with: a shorter one would say of the last class that it may be kept, of
// the last zone that it has no proxies.
func (t *told) lists() error {
	f := &t.FamilyInfo
	for _, l := range []struct {
		name       string
		given, due int
		of         string
	}{
		{"ClassFreshUs", len(f.ClassFreshUs), len(t.Grades), "classes"},
		{"ClassStaleWorth", len(f.ClassStaleWorth), len(t.Grades), "classes"},
		{"InParts", len(f.InParts), len(t.Grades), "classes"},
		{"StaleForUs", len(f.StaleForUs), len(t.Grades), "classes"},
		{"Uncached", len(f.Uncached), len(t.Grades), "classes"},
		{"HomeHub", len(f.HomeHub), len(t.Zones), "zones"},
		{"ZoneBalancers", len(f.ZoneBalancers), len(t.Zones), "zones"},
		{"ZoneLinkKbPerS", len(f.ZoneLinkKbPerS), len(t.Zones), "zones"},
	} {
		if l.given > 0 && l.given != l.due {
			return fmt.Errorf("settings.FamilyInfo.%s: %d values for %d %s", l.name, l.given, l.due, l.of)
		}
	}
	return cmp.Or(twice("Zones", t.Zones), twice("Kinds", t.Kinds))
}

func twice(name string, list []string) error {
	for i, x := range list {
		if slices.Index(list, x) != i {
			return fmt.Errorf("settings.%s[%d]: %q is named twice", name, i, x)
		}
	}
	return nil
}

// numbers looks at places in lists and at what can't be below 0.
func (t *told) numbers() error {
	f, r, b := &t.FamilyInfo, &t.Rules, &t.Bounds
	if len(t.Zones) > 0 && (t.Zone < 0 || int(t.Zone) >= len(t.Zones)) {
		return fmt.Errorf("settings.Zone: %v is no place in %d zones", t.Zone, len(t.Zones))
	}
	for i, hub := range f.HomeHub {
		if int(hub) >= len(t.Zones) {
			return fmt.Errorf("settings.FamilyInfo.HomeHub[%d]: %v is no place in %d zones", i, hub, len(t.Zones))
		}
	}
	for i, kind := range []*float64{f.RootKind, f.SecondTierKind} {
		if kind != nil && int(*kind) >= len(t.Kinds) {
			return fmt.Errorf("settings.FamilyInfo.%s: %v is no place in %d kinds", []string{"RootKind", "SecondTierKind"}[i], *kind, len(t.Kinds))
		}
	}
	if f.RootKind != nil && f.SecondTierKind != nil && *f.RootKind >= 0 && *f.RootKind == *f.SecondTierKind {
		return fmt.Errorf("settings.FamilyInfo.RootKind: parents and the origin are of kinds of their own, both are %v", *f.RootKind)
	}
	for i, n := range f.ZoneBalancers {
		if n < 0 {
			return fmt.Errorf("settings.FamilyInfo.ZoneBalancers[%d]: %v is below 0", i, n)
		}
	}
	if err := least("settings.Rules.", map[string]float64{
		"DrainGraceUs": r.DrainGraceUs, "ColdFrom": r.ColdFrom, "WarmWithinUs": r.WarmWithinUs, "FallMultiple": r.FallMultiple, "FallUs": r.FallUs,
	}); err != nil {
		return err
	}
	if err := least("settings.Bounds.", map[string]float64{
		"StreamsPerConn": b.StreamsPerConn, "MostHeld": b.MostHeld, "MostTries": b.MostTries, "ConnIdleUs": b.ConnIdleUs, "ConnectTimeoutUs": b.ConnectTimeoutUs,
	}); err != nil {
		return err
	}
	return least("settings.FamilyInfo.", map[string]float64{
		"FlowKbPerS": f.FlowKbPerS, "PurgeTakesUs": f.PurgeTakesUs, "ParentColdFrom": f.ParentColdFrom, "ParentWarmsInUs": f.ParentWarmsInUs,
		"ParentBreaksAt": f.ParentBreaksAt,
	})
}

// least returns the first of the values, by name, that is below 0.
func least(place string, values map[string]float64) (err error) {
	worst := ""
	for name, v := range values {
		if v < 0 && (worst == "" || name < worst) {
			worst, err = name, fmt.Errorf("%s%s: %v is below 0", place, name, v)
		}
	}
	return err
}

// plain gives the place of what can't be read, in one line.
func plain(raw []byte, err error) error {
	var syntax *json.SyntaxError
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		before := raw[:min(len(raw), int(syntax.Offset))]
		line := 1 + bytes.Count(before, []byte("\n"))
		return fmt.Errorf("%d:%d: %w", line, len(before)-bytes.LastIndexByte(before, '\n')-1, err)
	case errors.As(err, &wrong):
		return fmt.Errorf("%s: %s found where it can't stand", wrong.Field, wrong.Value)
	}
	return err
}
