package capacity

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// noisyPoints are the values of a function at four sizes. Each is changed at random by up to the fraction noise.
func noisyPoints(value func(float64) float64, noise float64, seed uint64) (points []Point) {
	random := rand.New(rand.NewPCG(seed, 1))
	for _, n := range []float64{100, 300, 1000, 3000} {
		points = append(points, Point{n, value(n) * (1 + noise*(2*random.Float64()-1))})
	}
	return points
}

// With the wrong model, the extrapolation to 17,000 (six times the largest measured size) is off by orders of magnitude.
func TestFitFindsModelOfNoisyPoints(t *testing.T) {
	for _, c := range []struct {
		model Model
		f     func(float64) float64
	}{
		{Linear, func(n float64) float64 { return 5000 + 70*n }},
		{Linear, func(n float64) float64 { return 12 }},
		{NLogN, func(n float64) float64 { return 3 * n * math.Log2(n) }},
		{Quadratic, func(n float64) float64 { return 200 + 0.5*n*n }},
	} {
		for seed := range uint64(50) {
			fit := FitPoints(noisyPoints(c.f, 0.02, seed))
			want := c.f(17000)
			if c.model != NLogN && fit.Model != c.model {
				t.Errorf("seed %d: points of the model %s were fitted as %s", seed, c.model, fit.Model)
			}
			if got := fit.At(17000); math.Abs(got-want) > 0.30*want {
				t.Errorf("seed %d, %s: fit gives %g at 17,000, want %g", seed, c.model, got, want)
			}
		}
	}
}

// Without noise the fit has the parameters from which the points were computed.
func TestFitIsExactWithoutNoise(t *testing.T) {
	fit := FitPoints(noisyPoints(func(n float64) float64 { return 5000 + 70*n }, 0, 1))
	if math.Abs(fit.Fixed-5000) > 1e-3 || math.Abs(fit.Slope-70) > 1e-3 || fit.MaxResidual() > 1e-4 {
		t.Errorf("fit is %+v, want fixed 5000, slope 70 and residuals of at most 1e-4", fit)
	}
}

// A linear cost whose timings have noise is still fitted as linear.
func TestFitStaysLinearWithinNoise(t *testing.T) {
	for seed := range uint64(200) {
		if fit := FitPoints(noisyPoints(func(n float64) float64 { return 2 * n }, 0.08, seed)); fit.Model != Linear {
			t.Errorf("seed %d: linear points were fitted as %s with residuals %v", seed, fit.Model, fit.Residuals)
		}
	}
}

// sampleRecording is a valid recording.
func sampleRecording() Recording {
	return Recording{
		Name: "x/y", Role: Proxy, Driver: "servers", Quantity: "memory", Unit: "bytes", Command: "ravenlab capacity record",
		Points: noisyPoints(func(n float64) float64 { return 5000 + 70*n }, 0, 1),
	}
}

// ReadRecordings rejects a file in which a fit was edited.
func TestReadRecordingsRejectsWrongFit(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.json")
	if err := Save(path, File{About: "a", Machine: "m", Recordings: []Recording{sampleRecording()}}); err != nil {
		t.Fatal(err)
	}
	recordings, err := ReadRecordings(dir)
	if err != nil || len(recordings) != 1 || recordings["x/y"].Slope != 70 {
		t.Fatalf("recordings %v, error %v; want one recording with slope 70", recordings, err)
	}
	raw, _ := os.ReadFile(path)
	edited := strings.Replace(string(raw), `"slope": 70`, `"slope": 60`, 1)
	if edited == string(raw) {
		t.Fatal("the file holds no slope of 70 to edit")
	}
	if err := os.WriteFile(path, []byte(edited), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRecordings(dir); err == nil {
		t.Error("ReadRecordings accepted an edited slope")
	}
}

// A recording that is incomplete or cannot be fitted is invalid.
func TestInvalidRecordingIsRejected(t *testing.T) {
	for name, change := range map[string]func(*Recording){
		"no name":                  func(r *Recording) { r.Name = "" },
		"no command":               func(r *Recording) { r.Command = "" },
		"unknown role":             func(r *Recording) { r.Role = "unknown" },
		"three points":             func(r *Recording) { r.Points = r.Points[:3] },
		"sizes too close together": func(r *Recording) { r.Points = []Point{{1, 1}, {2, 2}, {3, 3}, {4, 4}} },
		"value is NaN":             func(r *Recording) { r.Points[2].Measured = math.NaN() },
		"sizes out of order":       func(r *Recording) { r.Points[0], r.Points[1] = r.Points[1], r.Points[0] },
	} {
		r := sampleRecording()
		change(&r)
		if r.Valid() == nil {
			t.Errorf("%s: the recording was accepted", name)
		}
	}
	if err := sampleRecording().Valid(); err != nil {
		t.Error(err)
	}
}
