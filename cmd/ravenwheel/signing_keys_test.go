package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/store"
)

// Guards against a dropped signing key that a restart brings back, as the operator's file still has it.
func TestFileKeysDoNotReturnAfterRevisionNamedKeys(t *testing.T) {
	const namesKeys = `{"keys": {"k2": {"alg": "HS256", "key": "eA=="}}}`
	fileKeys := config.KeyRing{"k1": {Alg: "HS256", Data: []byte("x")}}
	for name, test := range map[string]struct {
		revisions []string
		want      bool // the file's key is in the store
	}{
		"no revision":                                 {nil, true},
		"a revision without keys":                     {[]string{`{"limits": {"requests": 10}}`}, true},
		"a revision with other keys":                  {[]string{namesKeys}, false},
		"a revision without keys after one with keys": {[]string{namesKeys, `{"limits": {"requests": 10}}`}, false},
	} {
		t.Run(name, func(t *testing.T) {
			st, err := store.Open(store.Options{Clock: clock.Manual(1000)})
			require.NoError(t, err)
			defer func() { _ = st.Close() }()
			for base, text := range test.revisions {
				_, err := st.SetConfig(uint64(base), text, "ops")
				require.NoError(t, err)
			}
			putSigningKeys(st, fileKeys)
			_, found := st.Key("k1")
			require.Equal(t, test.want, found)
		})
	}
}

// A revision that arrives while the file's keys are put into the store decides.
func TestKeysDroppedMeanwhileAreDeleted(t *testing.T) {
	st, err := store.Open(store.Options{Clock: clock.Manual(1000)})
	require.NoError(t, err)
	defer func() { _ = st.Close() }()
	keys := config.KeyRing{"k1": {Alg: "HS256", Data: []byte("x")}, "k2": {Alg: "HS256", Data: []byte("x")}}
	require.True(t, putKeys(st, keys))
	_, err = st.SetConfig(0, `{"keys": {"k2": {"alg": "HS256", "key": "eA=="}}}`, "ops")
	require.NoError(t, err)
	deleteDroppedKeys(st, keys)
	_, dropped := st.Key("k1")
	_, kept := st.Key("k2")
	require.Equal(t, []bool{false, true}, []bool{dropped, kept})
}
