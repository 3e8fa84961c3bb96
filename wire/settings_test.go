package wire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"ravenwheel/policy"
)

// Integers are accepted in every notation of a JSON number.
func TestDecodeSettingsAcceptsAnyNumberForm(t *testing.T) {
	decode := func(numbers ...string) policy.Settings {
		text := `{"NInstances":#,"Zone":#,"Grades":[{"DeadlineUs":#,"WindowUs":#,"Effect":"deduplicated"}],
			"Bounds":{"MostTries":#},"Rules":{"FallUs":#},"FamilyInfo":{"RootKind":#,"ZoneBalancers":[#],"PurgeTakesUs":#}}`
		for i := range 9 {
			text = strings.Replace(text, "#", numbers[i%len(numbers)], 1)
		}
		s, err := DecodeSettings([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		return s
	}
	want := decode("3")
	if want.Routers != 3 || want.Classes[0].Deadline != 3*time.Microsecond || want.ZoneRouters[0] != 3 {
		t.Fatalf("got %+v", want)
	}
	if got := decode("3.0", "3e0", "0.3E1"); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Settings that are absent or 0 get their safe defaults.
func TestDecodeSettingsDefaults(t *testing.T) {
	s, err := DecodeSettings([]byte(`{"Grades":[{"DeadlineUs":5000000},{"DeadlineUs":5000000,"TargetUs":1000000}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Classes[0].LatencyObjective != 5*time.Second || s.Classes[1].LatencyObjective != time.Second {
		t.Errorf("latency objectives %v and %v", s.Classes[0].LatencyObjective, s.Classes[1].LatencyObjective)
	}
	if s.PurgeDuration != 6*time.Second {
		t.Errorf("purge duration %v", s.PurgeDuration)
	}
	if s.ParentKind != -1 || s.OriginKind != -1 || s.WeightsKnown || s.MayBypassCaches || s.CoalescesFills || s.Classes[0].FreshFor != 0 {
		t.Errorf("got %+v", s)
	}
}

// An unknown deduplication scope is an error, except for a class without idempotency keys.
func TestDecodeSettingsRejectsUnknownDedupScope(t *testing.T) {
	_, err := DecodeSettings([]byte(`{"Grades":[{"Effect":"idempotent","Group":"hall"},{"Effect":"deduplicated","Group":"hall"}]}`))
	if err == nil || err.Error() != `settings.Grades[1].Group: unknown group "hall", want all, zone or cell` {
		t.Errorf("got %v", err)
	}
	if _, err = DecodeSettings([]byte(`{"Grades":[{"Effect":"idempotent","Group":"hall"},{"Effect":"deduplicated"}]}`)); err != nil {
		t.Error(err)
	}
}

// The error for a value of the wrong type is one line that names the place of the value.
func TestDecodeSettingsReportsPlaceOfWrongType(t *testing.T) {
	for text, want := range map[string]string{
		`{"Grades":[{"DeadlineUs":"3s"}]}`:      "settings.Grades.DeadlineUs: string found, number wanted",
		`{"FamilyInfo":{"Uncached":[0]}}`:       "settings.FamilyInfo.Uncached: number found, bool wanted",
		`{"Bounds":{"MostTries":[]}}`:           "settings.Bounds.MostTries: array found, number wanted",
		`{"FamilyInfo":{"ZoneBalancers":{}}}`:   "settings.FamilyInfo.ZoneBalancers: object found, array wanted",
		`{"Weights":{},"Grades":[{"Worth":1}]}`: "settings.Weights: object found, string wanted",
		`[]`:                                    "settings.: array found, object wanted",
		`{`:                                     "settings: unexpected end of JSON input",
	} {
		if _, err := DecodeSettings([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", text, err, want)
		}
	}
}
