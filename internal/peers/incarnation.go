package peers

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// incarnationFile is the name of the file that holds the number of the last incarnation, in decimal.
const incarnationFile = "peers.start"

// nextIncarnation returns the number of this incarnation and stores it in a directory. The number is the current time in Unix ms,
// or one above the stored number if that is higher, so that it increases even if the clock was set back.
func nextIncarnation(dir string, now uint64) (uint64, error) {
	if dir == "" {
		return now, nil
	}
	path := filepath.Join(dir, incarnationFile)
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, fmt.Errorf("peers: %w", err)
	}
	next := now
	if last, err := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 64); err == nil {
		next = max(next, last+1)
	}
	text := strconv.FormatUint(next, 10) + "\n"
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(path+".new", []byte(text), 0o600)); err != nil {
		return 0, fmt.Errorf("peers: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return 0, fmt.Errorf("peers: %w", err)
	}
	return next, nil
}
