package console

import (
	"strings"
	"testing"

	"ravenwheel/internal/golden"
)

// Each call of the platform's protocol gets the recorded answer, from a proxy that is ready and from one that is not.
func TestGoldenLines(t *testing.T) {
	var transcript strings.Builder
	for _, ready := range []bool{true, false} {
		c := &Console{controller: &fakeController{ready: ready}}
		for _, line := range []string{
			"STATUS", "STATUS now", "PAUSE", "RESUME", "PAUSE now", "RESUME now", "SUSPEND s-00000001", "RESTORE s-00000001",
			"SUSPEND s-00000009", "RESTORE s-00000009", "SUSPEND", "RESTORE", "SUSPEND s-0000000A", "status", "",
		} {
			transcript.WriteString("> " + line + "\n< " + c.Answer(line) + "\n")
		}
	}
	golden.Equal(t, "lines.txt", []byte(transcript.String()))
}
