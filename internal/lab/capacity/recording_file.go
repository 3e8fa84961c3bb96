package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// File is a file of recordings, docs/measurements/capacity/NAME.json.
type File struct {
	About      string      `json:"about"` // what was measured, in one sentence
	Machine    string      `json:"machine"`
	Recordings []Recording `json:"recordings"`
}

// Save fits the recordings of a file and writes the file. It returns a *RecordingError if one of the recordings is invalid.
func Save(path string, f File) error {
	f.Recordings = slices.Clone(f.Recordings)
	for i, r := range f.Recordings {
		if err := r.Valid(); err != nil {
			return err
		}
		f.Recordings[i] = r.Fitted()
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(f); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// ReadFile reads a file without validating its recordings.
func ReadFile(path string) (f File, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// RecordingSet holds recordings by name.
type RecordingSet map[string]Recording

// ReadRecordings reads all files of a directory. The error joins a *RecordingError for each recording that is invalid, has the name
// of another one, or holds a fit that differs from the fit of its points.
func ReadRecordings(dir string) (RecordingSet, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	set := RecordingSet{}
	var errs []error
	for _, path := range paths {
		f, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		for _, r := range f.Recordings {
			errs = append(errs, set.add(path, r))
		}
	}
	return set, errors.Join(errs...)
}

func (s RecordingSet) add(path string, r Recording) error {
	if err := r.Valid(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if _, duplicate := s[r.Name]; duplicate {
		return fmt.Errorf("%s: %w", path, r.errorf("another recording has this name"))
	}
	if !r.equal(FitPoints(r.Points)) {
		return fmt.Errorf("%s: %w", path, r.errorf("the stored fit differs from the fit of the points: run 'ravenlab capacity fit %s'", path))
	}
	s[r.Name] = r
	return nil
}
