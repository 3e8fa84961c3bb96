package signed_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// The classes of scenario.Settings that the front serves here.
const (
	readClass  = 1 // asset
	writeClass = 2 // seat-claim
)

// settingsOf returns settings in which one class has the given idempotency.
func settingsOf(class int, idempotency policy.Idempotency) policy.Settings {
	settings := scenario.Settings()
	settings.Classes[class].Idempotency, settings.Classes[class].DedupWindow = idempotency, 6*time.Second
	return settings
}

// receivedAttempt is an attempt as the cache server received it.
type receivedAttempt struct{ id, key string }

// receiveAttempt returns the next attempt that the cache server receives, over any connection.
func (f *frontFixture) receiveAttempt() receivedAttempt {
	words, err := f.proxy.Cache.Receive()
	for err == nil && len(words) == 1 && words[0] == "closed" {
		words, err = f.proxy.Cache.Receive()
	}
	require.NoError(f.t, err)
	require.GreaterOrEqual(f.t, len(words), 3, "%q", words)
	require.Equal(f.t, "fetch", words[0])
	fields, ok := resp.ParseFields([]byte(words[2]))
	require.True(f.t, ok)
	return receivedAttempt{id: words[1], key: fields["dedupe"]}
}

// serve answers an attempt, and requires that the client gets the answer.
func (f *frontFixture) serve(a receivedAttempt) {
	f.run("s send " + a.id + " served why=local,version=v1 BYTES\nc expect 200 - BYTES")
}

// Guards against a keyed request that runs twice: its attempts carried no key when the connection of the first was reset.
func TestKeyedRequestIsSentAgainWithItsKey(t *testing.T) {
	for name, test := range map[string]struct {
		class int
		send  string
	}{
		"write": {writeClass, postWithToken + "{write} seat9"},
		"read":  {readClass, getWithLink + "{good}"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, frontSetup{settings: settingsOf(test.class, policy.IdempotentByKey)})
			f.runPart(test.send)
			first := f.receiveAttempt()
			f.proxy.Cache.ResetConns()
			second := f.receiveAttempt()
			require.Regexp(t, "^[0-9a-f]{32}$", first.key)
			require.Equal(t, first, second)
			f.serve(second)
		})
	}
}

// Guards against two requests with one key, of which servers would run only the first.
func TestKeyedRequestsHaveDifferentKeys(t *testing.T) {
	f := startFront(t, frontSetup{settings: settingsOf(writeClass, policy.IdempotentByKey)})
	keys := map[string]bool{}
	for _, token := range []string{"{write}", "{write2}"} {
		f.runPart(postWithToken + token + " seat9")
		attempt := f.receiveAttempt()
		keys[attempt.key] = true
		f.serve(attempt)
	}
	f = startFront(t, frontSetup{settings: settingsOf(readClass, policy.IdempotentByKey)})
	for range 2 { // a link may be used many times
		f.runPart(getWithLink + "{good}")
		attempt := f.receiveAttempt()
		keys[attempt.key] = true
		f.serve(attempt)
	}
	require.Len(t, keys, 4)
}

// Guards against keys in classes whose servers do not discard duplicates.
func TestOnlyKeyedClassesHaveKeys(t *testing.T) {
	for _, idempotency := range []policy.Idempotency{policy.Idempotent, policy.NotIdempotent} {
		f := startFront(t, frontSetup{settings: settingsOf(writeClass, idempotency)})
		f.runPart(postWithToken + "{write} seat9")
		attempt := f.receiveAttempt()
		require.Empty(t, attempt.key)
		f.serve(attempt)
	}
}

// Guards against a 503 after which a client sends a write again that may have run: with its new token it has a new key.
func TestKeyedWriteThatMayHaveRunIsNotRejected(t *testing.T) {
	for outcome, wantAnswer := range map[string]string{
		"crashed":  "502 - upstream failed: effect unknown",
		"overload": "503 Retry-After:* overloaded",
	} {
		f := startFront(t, frontSetup{settings: settingsOf(writeClass, policy.IdempotentByKey)})
		f.run(postWithToken + "{write} seat9" + strings.Repeat(expectWrite+"s send $id "+outcome+"\n", 2) + "c expect " + wantAnswer)
	}
}
