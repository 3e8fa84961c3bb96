package strictjson_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/strictjson"
)

type target struct {
	Name    string             `json:"name"`
	Size    int                `json:"size"`
	Seed    uint64             `json:"seed"`
	Weight  float64            `json:"weight"`
	Force   bool               `json:"force"`
	Parts   []part             `json:"parts"`
	Weights map[string]float64 `json:"weights"`
	Extra   *part              `json:"extra"`
}

type part struct {
	File string `json:"file"`
}

// invalidTexts maps texts to the only defect that each of them has.
var invalidTexts = map[string]string{
	"":                              "f: empty",
	" \n":                           "f: empty",
	`{"name": "a", "name": "b"}`:    `f:1:15: "name" is given twice`,
	`{"\u006eame": "a"}`:            "f:1:2: a field name must not contain escapes",
	"{\n  \"nam\": 1\n}":            `f:2:3: unknown field "nam"; did you mean "name"?`,
	`{"Name": "a"}`:                 `f:1:2: unknown field "Name"; did you mean "name"?`,
	`{"zzz": 1}`:                    `f:1:2: unknown field "zzz"`,
	`{"size": 1.5}`:                 "f:1:10: must be a whole number, not 1.5",
	`{"seed": -1}`:                  "f:1:10: must be a whole number of 0 or more, not -1",
	`{"weight": 1e999}`:             "f:1:12: must be a finite number, not 1e999",
	`{"name": 3}`:                   "f:1:10: must be a string, not 3",
	`{"name": []}`:                  "f:1:10: must be a string, not a list",
	`{"force": "yes"}`:              `f:1:11: must be true or false, not "yes"`,
	`{"parts": {}}`:                 "f:1:11: must be a list, not an object",
	`{"extra": 1}`:                  "f:1:11: must be an object, not 1",
	`{"weights": []}`:               "f:1:13: must be an object of at most 1000 fields, not a list",
	`{"name": null}`:                "f:1:10: null is not allowed here",
	`[]`:                            "f:1:1: must be an object, not a list",
	`{"parts": [{"file": "a"}, 7]}`: "f:1:27: must be an object, not 7",
	strings.Repeat("[", 1000):       "f:1:33: nested deeper than 32 levels",
}

func TestInvalidTextIsReported(t *testing.T) {
	for text, want := range invalidTexts {
		require.EqualError(t, strictjson.Decode("f", []byte(text), &target{}).Defects, want, text)
	}
}

func TestDefectsHavePositions(t *testing.T) {
	var f target
	d := strictjson.Decode("f", []byte("{ // by hand\n  \"name\": \"a\", /* [[ */\n  \"parts\": [\n    {\"file\": \"x\"},\n  ],\n}"), &f)
	require.NoError(t, d.Defects.Err())
	require.Equal(t, target{Name: "a", Parts: []part{{"x"}}}, f)
	require.True(t, d.Has("parts[0].file") && !d.Has("size"))
	require.Equal(t, "4:14", d.Position("parts[0].file"))
	d.Failf("parts[0].file", "no such file %q", "x")
	d.Failf("parts[0].hash", "is missing")
	d.Failf("size", "is missing")
	require.EqualError(t, d.Defects, "f:4:14: no such file \"x\"\nf:4:5: is missing\nf:1:1: is missing")
}

// A truncated text has a defect, unless only the white space behind its last brace is missing.
func TestTruncatedTextIsInvalid(t *testing.T) {
	text := `{"name":"a","size":12,"parts":[{"file":"x"}],"weights":{"a":1.5}}` + "\n\n"
	for i := range text {
		var f target
		d := strictjson.Decode("f", []byte(text[:i]), &f)
		require.Equal(t, i > strings.LastIndex(text, "}"), d.Valid(), text[:i])
	}
}

func TestDefectsAreBounded(t *testing.T) {
	var list struct {
		Parts []part `json:"parts"`
	}
	d := strictjson.Decode("f", []byte(`{"parts":[`+strings.Repeat("1,", 5000)+"1]}"), &list)
	require.Len(t, d.Defects, 100)
	require.Contains(t, d.Defects.Error(), "4902 more defects")
}

func FuzzDecode(f *testing.F) {
	for text := range invalidTexts {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"name":"a","parts":[{"file":"\ud800"}],} /*`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var v target
		for _, x := range strictjson.Decode("f", text, &v).Defects {
			require.NotContains(t, x.Error(), "\n")
		}
	})
}
