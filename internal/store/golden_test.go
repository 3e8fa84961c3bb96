package store

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/sha256"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/golden"
)

func goldenStatus() Status {
	return Status{
		Name: "a", State: "Leader", Leader: "b", Term: 3, AppliedIndex: 40, CommitIndex: 41, StaleMs: 12.5,
		Members: []MemberState{{Name: "a", Addr: "127.0.73.1:4000", Voter: true}, {Name: "b", Addr: "127.0.73.2:4000"}}, ConfigRevision: 6,
	}
}

var goldenRequests = map[string]request{
	"request-apply.bin":    {Operation: opApply, Change: []byte{1, 0xa0}},
	"request-index.bin":    {Operation: opIndex},
	"request-status.bin":   {Operation: OpStatus},
	"request-join.bin":     {Operation: OpJoin, Name: "b", Addr: "127.0.73.2:4000"},
	"request-remove.bin":   {Operation: OpRemove, Name: "b"},
	"request-transfer.bin": {Operation: OpTransfer, Name: "b"},
	"request-full.bin":     {Operation: opApply, Change: []byte{1}, Name: "n", Addr: "a"},
}

func goldenReplies() map[string]reply {
	status := goldenStatus()
	return map[string]reply{
		"reply-none.bin":       {},
		"reply-result.bin":     {Result: []byte{0xa1, 1, 0}},
		"reply-index.bin":      {Index: 77},
		"reply-status.bin":     {Status: &status},
		"reply-not-leader.bin": {Err: errTextNotLeader, Leader: "127.0.73.1:4000"},
		"reply-maybe.bin":      {Err: "not applied", MayHaveRun: true},
		"reply-full.bin":       {Result: []byte{1}, Index: 2, Err: "e", MayHaveRun: true, Leader: "l", Status: &Status{}},
	}
}

// Each request and each reply is written as the frame in its golden file, and read from it.
func TestGoldenFrames(t *testing.T) {
	for name, q := range goldenRequests {
		var frame bytes.Buffer
		require.NoError(t, writeMessage(&frame, q))
		golden.Equal(t, name, frame.Bytes())
		var read request
		require.NoError(t, readMessage(bytes.NewReader(golden.Read(t, name)), &read))
		require.Equal(t, q, read, name)
	}
	for name, r := range goldenReplies() {
		var frame bytes.Buffer
		require.NoError(t, writeMessage(&frame, r))
		golden.Equal(t, name, frame.Bytes())
		var read reply
		require.NoError(t, readMessage(bytes.NewReader(golden.Read(t, name)), &read))
		require.Equal(t, r, read, name)
	}
	require.Equal(t, "RCD", string([]byte{connRaft, connCalls, connLink}))
}

// A link writes a frame as its length and its content.
func TestGoldenLink(t *testing.T) {
	one, two := net.Pipe()
	defer one.Close()
	sent := make(chan error, 1)
	go func() { sent <- (&Link{conn: one}).Send([]byte("frame"), waitTimeout); one.Close() }()
	raw, err := io.ReadAll(two)
	require.NoError(t, err)
	require.NoError(t, <-sent)
	golden.Equal(t, "link-frame.bin", raw)
}

// The JSON of a member and of its status, as the admin interface and the cluster commands write it.
func TestGoldenStatus(t *testing.T) {
	for name, s := range map[string]Status{"status.json": goldenStatus(), "status-empty.json": {}} {
		raw, err := json.MarshalIndent(s, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
	}
	raw, err := json.Marshal(Member{Name: "a", Addr: "127.0.73.1:4000"})
	require.NoError(t, err)
	golden.Equal(t, "member.json", raw)
}

// writeKeys issues identities of members a and b of the cluster "th" into a directory, and removes the authority's key.
func writeKeys(t *testing.T, dir string) {
	require.NoError(t, CreateAuthority(dir, "th"))
	require.NoError(t, IssueCertificate(dir, "a"))
	require.NoError(t, IssueCertificate(dir, "b"))
	require.NoError(t, os.Remove(filepath.Join(dir, "ca.key")))
}

// goldenPeer returns the member that a certificate names, without verifying the certificate.
func goldenPeer(t *testing.T, dir, name string) Peer {
	raw, err := os.ReadFile(filepath.Join(dir, name+".crt"))
	require.NoError(t, err)
	block, _ := pem.Decode(raw)
	leaf, err := x509.ParseCertificate(block.Bytes)
	require.NoError(t, err)
	return Peer{Name: name, Key: leaf.PublicKey.(*ecdsa.PublicKey), Issued: leaf.NotBefore}
}

// Identities issued by an earlier version are loaded, can sign, and derive the same shared secrets. A certificate issued now has
// the same names, key usages and validity.
func TestGoldenIdentities(t *testing.T) {
	dir := golden.Directory(t, "identities", func(dir string) { writeKeys(t, dir) })
	newDir := t.TempDir()
	writeKeys(t, newDir)
	var ids []*Identity
	for _, name := range []string{"a", "b"} {
		id, err := LoadIdentity(dir, name)
		require.NoError(t, err)
		require.Equal(t, [2]string{"th", name}, [2]string{id.Cluster, id.Name})
		hash := sha256.Sum256([]byte("x"))
		signature, err := id.Sign(hash[:])
		require.NoError(t, err)
		require.True(t, ecdsa.VerifyASN1(goldenPeer(t, dir, name).Key, hash[:], signature))
		ids = append(ids, id)
		issued, err := LoadIdentity(newDir, name)
		require.NoError(t, err)
		want, got := id.cert.Leaf, issued.cert.Leaf
		require.Equal(t, want.URIs, got.URIs)
		require.Equal(t, want.Subject.String(), got.Subject.String())
		require.Equal(t, want.KeyUsage, got.KeyUsage)
		require.Equal(t, want.ExtKeyUsage, got.ExtKeyUsage)
		require.Equal(t, want.NotAfter.Sub(want.NotBefore), got.NotAfter.Sub(got.NotBefore))
	}
	out, in, err := ids[0].SharedSecrets(goldenPeer(t, dir, "b"), "peers")
	require.NoError(t, err)
	golden.Equal(t, "shared-a-to-b.bin", out)
	golden.Equal(t, "shared-b-to-a.bin", in)
	out, in, err = ids[1].SharedSecrets(goldenPeer(t, dir, "a"), "peers")
	require.NoError(t, err)
	golden.Equal(t, "shared-a-to-b.bin", in)
	golden.Equal(t, "shared-b-to-a.bin", out)
}

// openGolden opens the only member of a cluster on a directory, with a new identity. It takes a snapshot after eight entries.
func openGolden(t *testing.T, dir string) *Store {
	keys := t.TempDir()
	require.NoError(t, CreateAuthority(keys, "th"))
	require.NoError(t, IssueCertificate(keys, "a"))
	id, err := LoadIdentity(keys, "a")
	require.NoError(t, err)
	self := Member{Name: "a", Addr: "127.0.73.1:0"}
	s, err := Open(Options{
		Self: self, Peers: []Member{self}, Dir: dir, Identity: id, Clock: clock.Manual(1e12),
		FastElections: true, SnapshotThreshold: 8, TrailingLogs: 2,
	})
	require.NoError(t, err)
	eventually(t, s.IsLeader, "the member is elected leader")
	return s
}

// writeStore writes a store's directory with a change of each kind, some before a snapshot and some after it.
func writeStore(t *testing.T, dir string) {
	s := openGolden(t, dir)
	propose := func(c storestate.Change) {
		_, err := s.Propose(c)
		require.NoError(t, err)
	}
	list := &storestate.List{Generation: 3, Servers: []serverlist.Server{
		{ID: 1, Host: "h1", Port: 4100, Zone: "east"}, {ID: 2, Host: "h2", Port: 4100, Warm: true},
	}}
	propose(storestate.Change{Kind: storestate.RedeemToken, Name: "spent-1", ExpiresAt: 9e15})
	propose(storestate.Change{Kind: storestate.PutKey, Name: "k1", Key: &Key{Alg: "HS256", Data: []byte("x")}})
	propose(storestate.Change{Kind: storestate.PutKey, Name: "k2", Key: &Key{Alg: "HS256", Data: []byte("y")}})
	propose(storestate.Change{Kind: storestate.RevokeToken, Name: "revoked-1", ExpiresAt: 9e15})
	propose(storestate.Change{Kind: storestate.SetConfig, Text: "{}", Author: "ops"})
	propose(storestate.Change{Kind: storestate.SetList, Name: "list", List: list})
	propose(storestate.Change{Kind: storestate.StartDrain, Name: "s-00000001"})
	propose(storestate.Change{Kind: storestate.StartDrain, Name: "s-00000002"})
	propose(storestate.Change{Kind: storestate.AddPurge, Purge: &storestate.Purge{Object: "o", IssuedAt: 1e12}, ExpiresAt: 9e15})
	eventually(t, func() bool { return s.raft.Stats()["last_snapshot_index"] != "0" }, "the member takes a snapshot")
	propose(storestate.Change{Kind: storestate.RedeemToken, Name: "spent-2", ExpiresAt: 9e15})
	propose(storestate.Change{Kind: storestate.DeleteKey, Name: "k2"})
	propose(storestate.Change{Kind: storestate.SetConfig, BaseRevision: 1, Text: "{ }"})
	propose(storestate.Change{Kind: storestate.EndDrain, Name: "s-00000002"})
	propose(storestate.Change{Kind: storestate.AddPurge, Purge: &storestate.Purge{Group: 4, IssuedAt: 1e12}, ExpiresAt: 9e15})
	s.Kill()
}

// A store opens a directory written by an earlier version, and recovers all changes from the snapshot and the entries after it.
func TestGoldenDirectory(t *testing.T) {
	dir := golden.Directory(t, "directory", func(dir string) { writeStore(t, dir) })
	snapshots, err := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.NotEmpty(t, snapshots)
	s := openGolden(t, dir)
	defer s.Kill()
	require.NotEqual(t, "0", s.raft.Stats()["last_snapshot_index"])
	var raw []byte
	require.NoError(t, s.ReadLinearizable(func(st *storestate.State) {
		raw, err = storestate.Encode(st)
		require.NoError(t, err)
	}))
	st, err := storestate.DecodeState(raw)
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"spent-1": 9e15, "spent-2": 9e15}, st.RedeemedTokens)
	require.Equal(t, map[string]float64{"revoked-1": 9e15}, st.RevokedTokens)
	require.Equal(t, map[string]Key{"k1": {Alg: "HS256", Data: []byte("x")}}, st.Keys)
	require.Equal(t, []storestate.Revision{
		{Number: 1, CreatedAt: 1e12, Author: "ops", Text: "{}"}, {Number: 2, CreatedAt: 1e12, Text: "{ }"},
	}, st.Revisions)
	require.Equal(t, map[string]storestate.List{"list": {Generation: 3, Servers: []serverlist.Server{
		{ID: 1, Host: "h1", Port: 4100, Zone: "east"}, {ID: 2, Host: "h2", Port: 4100, Warm: true},
	}}}, st.Lists)
	require.Equal(t, map[string]float64{"s-00000001": 1e12}, st.Drains)
	require.Equal(t, map[string]storestate.Purge{
		"o": {Object: "o", IssuedAt: 1e12, ExpiresAt: 9e15}, "group 4": {Group: 4, IssuedAt: 1e12, ExpiresAt: 9e15},
	}, st.Purges)
	require.Len(t, st.Results, 14)
	require.ErrorIs(t, s.RedeemToken("spent-2", 9e15), ErrTokenRedeemed)
}

// The state machine, without raft, restores the snapshot in the golden directory, writes an equal snapshot, and applies a change.
func TestGoldenSnapshot(t *testing.T) {
	snapshots, err := filepath.Glob(filepath.Join("testdata", "golden", "directory", "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.NotEmpty(t, snapshots)
	for _, path := range snapshots {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		f := &fsm{state: storestate.New()}
		require.NoError(t, f.Restore(io.NopCloser(bytes.NewReader(raw))))
		require.Contains(t, f.state.RedeemedTokens, "spent-1")
		again, err := f.Snapshot()
		require.NoError(t, err)
		require.Equal(t, raw, []byte(again.(snapshot)))
		change := mustEncode(t, storestate.Change{Kind: storestate.EndDrain, Name: "s-00000001"})
		require.Equal(t, storestate.Result{}, f.Apply(&raft.Log{Index: 99, Data: change}))
	}
}

func mustEncode(t *testing.T, c storestate.Change) []byte {
	raw, err := storestate.Encode(c)
	require.NoError(t, err)
	return raw
}
