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

// The defaults of values that may be absent from the platform's settings, and from an operator's file.
const (
	// defaultAttemptsPerConn is the maximum number of attempts in flight on one connection.
	defaultAttemptsPerConn = 32
	// defaultConnectTimeoutMs is the timeout of connecting: the operating system's own timeout is minutes.
	defaultConnectTimeoutMs = 400
)

// SettingError reports an invalid value in the platform's configuration.
type SettingError struct {
	Path   string // path of the value, such as settings.Grades[0].Name
	Reason string
}

// Error returns the path and the reason in one line.
func (e *SettingError) Error() string { return e.Path + ": " + e.Reason }

func settingErrorf(path, format string, args ...any) error {
	return &SettingError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// platformSettings are those of the platform's settings that the proxy itself uses, or validates before it starts. Package wire
// decodes the rest. The tags are the platform's names. A list that is absent is nil.
type platformSettings struct {
	Zone    float64         `json:"Zone"` // index of this proxy's zone in Zones
	Zones   []string        `json:"Zones"`
	Kinds   []string        `json:"Kinds"` // of servers
	Classes []platformClass `json:"Grades"`
	Rules   platformRules   `json:"Rules"`
	Bounds  platformBounds  `json:"Bounds"`
	Site    platformSite    `json:"FamilyInfo"`
}

// platformClass is a class of requests.
type platformClass struct {
	Name               string  `json:"Name"`
	Effect             string  `json:"Effect"`
	LatencyObjectiveUs float64 `json:"TargetUs"`
	DeadlineUs         float64 `json:"DeadlineUs"`
	DedupWindowUs      float64 `json:"WindowUs"`
	ObjectiveStretch   float64 `json:"AimStretch"`
	PriorityWeight     float64 `json:"Worth"`
	LateFraction       float64 `json:"LateValue"`
}

type platformRules struct {
	DrainGraceUs     float64 `json:"DrainGraceUs"`
	InitialCapacity  float64 `json:"ColdFrom"`
	WarmUpUs         float64 `json:"WarmWithinUs"`
	OverloadMultiple float64 `json:"FallMultiple"`
	OverloadWindowUs float64 `json:"FallUs"`
}

type platformBounds struct {
	AttemptsPerConn  float64 `json:"StreamsPerConn"`
	MaxOpenRequests  float64 `json:"MostHeld"`
	MaxAttempts      float64 `json:"MostTries"`
	IdleTimeoutUs    float64 `json:"ConnIdleUs"`
	ConnectTimeoutUs float64 `json:"ConnectTimeoutUs"`
}

// platformSite describes the site. Its lists have a value for each class or each zone.
type platformSite struct {
	ClassFreshUs       []float64 `json:"ClassFreshUs"`
	ClassStaleUs       []float64 `json:"StaleForUs"`
	ClassStaleFraction []float64 `json:"ClassStaleWorth"`
	ClassMultipart     []bool    `json:"InParts"`
	ClassUncached      []bool    `json:"Uncached"`
	ZoneProxies        []float64 `json:"ZoneBalancers"`
	ZoneHomeHub        []float64 `json:"HomeHub"`
	ZoneLinkKBPerS     []float64 `json:"ZoneLinkKbPerS"`

	OriginKind             *float64 `json:"RootKind"`       // index into Kinds
	ParentKind             *float64 `json:"SecondTierKind"` // index into Kinds
	TransferKBPerS         float64  `json:"FlowKbPerS"`
	PurgeDurationUs        float64  `json:"PurgeTakesUs"`
	ParentInitialCapacity  float64  `json:"ParentColdFrom"`
	ParentWarmUpUs         float64  `json:"ParentWarmsInUs"`
	ParentOverloadMultiple float64  `json:"ParentBreaksAt"`
}

// check returns a SettingError for the first invalid value.
func (s *platformSettings) check() error {
	if len(s.Classes) == 0 {
		return settingErrorf("settings.Grades", "there are no classes")
	}
	for i, class := range s.Classes {
		repeated := slices.ContainsFunc(s.Classes[:i], func(other platformClass) bool { return other.Name == class.Name })
		if err := class.check(fmt.Sprintf("settings.Grades[%d]", i), repeated); err != nil {
			return err
		}
	}
	return cmp.Or(
		s.checkLengths(),
		notRepeated("settings.Zones", s.Zones),
		notRepeated("settings.Kinds", s.Kinds),
		s.checkIndexes(),
		s.checkKinds(),
		s.checkNumbers(),
	)
}

func (k platformClass) check(path string, repeated bool) error {
	switch {
	case !validClassName(k.Name, repeated):
		return settingErrorf(path+".Name", "class name %q is empty, named twice or contains a space, a comma, an equals sign or a line break", k.Name)
	case !slices.Contains(effects, k.Effect):
		return settingErrorf(path+".Effect", "%q is not one of %s", k.Effect, strings.Join(effects, ", "))
	case k.DeadlineUs <= 0:
		return settingErrorf(path+".DeadlineUs", "%v is not above 0", k.DeadlineUs)
	case k.Effect == effectDeduplicated && k.DedupWindowUs <= 0:
		return settingErrorf(path+".WindowUs", "%v is not above 0: a deduplicated class needs the time during which repeats are discarded", k.DedupWindowUs)
	}
	return notNegative(path, map[string]float64{
		"TargetUs": k.LatencyObjectiveUs, "WindowUs": k.DedupWindowUs, "AimStretch": k.ObjectiveStretch, "Worth": k.PriorityWeight,
		"LateValue": k.LateFraction,
	})
}

// validClassName reports whether a class name is set, is not repeated, and can be written in a field of a frame.
func validClassName(name string, repeated bool) bool {
	const separators = " ,=\r\n"
	return name != "" && !repeated && !strings.ContainsAny(name, separators)
}

// checkLengths compares the length of each list with the number of classes or zones: in a shorter list, the last class or zone
// would have no value.
func (s *platformSettings) checkLengths() error {
	site := &s.Site
	for _, list := range []struct {
		name        string
		given, want int
		of          string
	}{
		{"ClassFreshUs", len(site.ClassFreshUs), len(s.Classes), "classes"},
		{"ClassStaleWorth", len(site.ClassStaleFraction), len(s.Classes), "classes"},
		{"InParts", len(site.ClassMultipart), len(s.Classes), "classes"},
		{"StaleForUs", len(site.ClassStaleUs), len(s.Classes), "classes"},
		{"Uncached", len(site.ClassUncached), len(s.Classes), "classes"},
		{"HomeHub", len(site.ZoneHomeHub), len(s.Zones), "zones"},
		{"ZoneBalancers", len(site.ZoneProxies), len(s.Zones), "zones"},
		{"ZoneLinkKbPerS", len(site.ZoneLinkKBPerS), len(s.Zones), "zones"},
	} {
		if list.given > 0 && list.given != list.want {
			return settingErrorf("settings.FamilyInfo."+list.name, "%d values for %d %s", list.given, list.want, list.of)
		}
	}
	return nil
}

func notRepeated(path string, names []string) error {
	for i, name := range names {
		if slices.Index(names, name) != i {
			return settingErrorf(fmt.Sprintf("%s[%d]", path, i), "%q is named twice", name)
		}
	}
	return nil
}

// checkIndexes validates indexes of zones and kinds.
func (s *platformSettings) checkIndexes() error {
	zones, kinds := len(s.Zones), len(s.Kinds)
	if zones > 0 && (s.Zone < 0 || int(s.Zone) >= zones) {
		return settingErrorf("settings.Zone", "%v is not an index of one of the %d zones", s.Zone, zones)
	}
	for i, hub := range s.Site.ZoneHomeHub {
		if int(hub) >= zones {
			return settingErrorf(fmt.Sprintf("settings.FamilyInfo.HomeHub[%d]", i), "%v is not an index of one of the %d zones", hub, zones)
		}
	}
	for _, kind := range []struct {
		name  string
		index *float64
	}{
		{"RootKind", s.Site.OriginKind},
		{"SecondTierKind", s.Site.ParentKind},
	} {
		if kind.index != nil && int(*kind.index) >= kinds {
			return settingErrorf("settings.FamilyInfo."+kind.name, "%v is not an index of one of the %d kinds", *kind.index, kinds)
		}
	}
	return nil
}

func (s *platformSettings) checkKinds() error {
	origin, parent := s.Site.OriginKind, s.Site.ParentKind
	if origin != nil && parent != nil && *origin >= 0 && *origin == *parent {
		return settingErrorf("settings.FamilyInfo.RootKind", "%v is also SecondTierKind: parents and the origin must be of different kinds", *origin)
	}
	return nil
}

// checkNumbers validates the numbers that must not be below 0.
func (s *platformSettings) checkNumbers() error {
	rules, bounds, site := &s.Rules, &s.Bounds, &s.Site
	for i, count := range site.ZoneProxies {
		if count < 0 {
			return settingErrorf(fmt.Sprintf("settings.FamilyInfo.ZoneBalancers[%d]", i), "%v is below 0", count)
		}
	}
	return cmp.Or(
		notNegative("settings.Rules", map[string]float64{
			"DrainGraceUs": rules.DrainGraceUs, "ColdFrom": rules.InitialCapacity, "WarmWithinUs": rules.WarmUpUs,
			"FallMultiple": rules.OverloadMultiple, "FallUs": rules.OverloadWindowUs,
		}),
		notNegative("settings.Bounds", map[string]float64{
			"StreamsPerConn": bounds.AttemptsPerConn, "MostHeld": bounds.MaxOpenRequests, "MostTries": bounds.MaxAttempts,
			"ConnIdleUs": bounds.IdleTimeoutUs, "ConnectTimeoutUs": bounds.ConnectTimeoutUs,
		}),
		notNegative("settings.FamilyInfo", map[string]float64{
			"FlowKbPerS": site.TransferKBPerS, "PurgeTakesUs": site.PurgeDurationUs, "ParentColdFrom": site.ParentInitialCapacity,
			"ParentWarmsInUs": site.ParentWarmUpUs, "ParentBreaksAt": site.ParentOverloadMultiple,
		}),
	)
}

// notNegative returns an error for the first value, in the order of their names, that is below 0.
func notNegative(path string, values map[string]float64) error {
	negative := ""
	for name, value := range values {
		if value < 0 && (negative == "" || name < negative) {
			negative = name
		}
	}
	if negative == "" {
		return nil
	}
	return settingErrorf(path+"."+negative, "%v is below 0", values[negative])
}

// withPlace adds the place in the text to a decoder's error, which stays on one line: for a syntax error, line:column, both
// from 1; for a value of the wrong type, its path, as a SettingError. Any other error is returned unchanged.
func withPlace(raw []byte, err error) error {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		before := raw[:min(len(raw), int(syntaxError.Offset))]
		line := 1 + bytes.Count(before, []byte("\n"))
		column := len(before) - bytes.LastIndexByte(before, '\n') - 1
		return fmt.Errorf("%d:%d: %w", line, column, err)
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return settingErrorf(typeError.Field, "unexpected %s", typeError.Value)
	}
	return err
}
