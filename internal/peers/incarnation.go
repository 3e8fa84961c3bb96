package peers

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// nextStart numbers this start: by the clock, and above all before where they are kept.
func nextIncarnation(dir string, now uint64) (uint64, error) {
	if dir == "" {
		return now, nil
	}
	path := filepath.Join(dir, "peers.start")
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, fmt.Errorf("peers: %w", err)
	}
	if last, err := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 64); err == nil {
		now = max(now, last+1)
	}
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(path+".new", []byte(strconv.FormatUint(now, 10)+"\n"), 0o600)); err != nil {
		return 0, fmt.Errorf("peers: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return 0, fmt.Errorf("peers: %w", err)
	}
	return now, nil
}
