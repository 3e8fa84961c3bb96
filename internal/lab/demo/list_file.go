package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/decide/serverlist"
)

// Times of waiting for the proxy to reach a state.
const (
	awaitTimeout  = 30_000 // ms
	awaitInterval = 0.02   // seconds between two queries
)

// TimeoutError is returned if the proxy does not reach a state within awaitTimeout.
type TimeoutError struct {
	State string
	Last  error // error of the last query; nil if the proxy answered it
}

// Error implements error.
func (e TimeoutError) Error() string {
	return fmt.Sprintf("timed out waiting until %s (error of the last query: %v)", e.State, e.Last)
}

// Unwrap returns the error of the last query.
func (e TimeoutError) Unwrap() error { return e.Last }

// serversInUse queries the proxy's admin address for the servers that it uses.
func (d *demonstration) serversInUse() (s admin.ServersResponse, err error) {
	err = admin.Call(d.operator.Admin.Listen, "/v1/servers", nil, &s)
	return s, err
}

// await waits until reached is true for the proxy's servers. state describes the condition in a TimeoutError.
func (d *demonstration) await(ctx context.Context, state string, reached func(admin.ServersResponse) bool) error {
	for deadline := d.clock.Now() + awaitTimeout; ; {
		s, err := d.serversInUse()
		if err == nil && reached(s) {
			return nil
		}
		if d.clock.Now() > deadline {
			return TimeoutError{State: state, Last: err}
		}
		if err := d.pause(ctx, awaitInterval); err != nil {
			return err
		}
	}
}

// pause waits for some seconds, or until the demonstration is cancelled.
func (d *demonstration) pause(ctx context.Context, seconds float64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return nil
	}
}

// replace replaces the list file by renaming a new file to its name.
func (d *demonstration) replace(text []byte) error {
	temporary := d.listPath + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, d.listPath)
}

// replaceAccepted replaces the list and waits until the proxy uses it. format and args describe the change in the output.
func (d *demonstration) replaceAccepted(ctx context.Context, list *serverlist.List, format string, args ...any) error {
	replaced := d.clock.Now()
	if err := d.replace(serverlist.Format(list)); err != nil {
		return err
	}
	inUse := func(s admin.ServersResponse) bool { return s.List.Generation == list.Generation }
	if err := d.await(ctx, "the proxy uses the new list", inUse); err != nil {
		return err
	}
	d.printf("list generation %d in use %.0f ms after the file was renamed: %s", list.Generation, d.clock.Now()-replaced, fmt.Sprintf(format, args...))
	return nil
}

// replaceRejected replaces the list and waits until the proxy rejects it. what describes the new list in the output.
func (d *demonstration) replaceRejected(ctx context.Context, text []byte, what string) error {
	if err := d.replace(text); err != nil {
		return err
	}
	return d.awaitRejection(ctx, what)
}

// awaitRejection waits until the proxy rejects the list, and prints the reason.
func (d *demonstration) awaitRejection(ctx context.Context, what string) error {
	before, err := d.serversInUse()
	if err != nil {
		return err
	}
	var after admin.ServersResponse
	rejected := func(now admin.ServersResponse) bool {
		after = now
		return now.List.Rejected > before.List.Rejected && len(now.List.Reasons) > 0
	}
	if err := d.await(ctx, "the proxy rejects the list", rejected); err != nil {
		return err
	}
	_, reason, _ := strings.Cut(after.List.Reasons[0], filepath.Base(d.listPath)+":")
	d.printf("%s is rejected, generation %d stays in use: line %s", what, after.List.Generation, reason)
	return nil
}
