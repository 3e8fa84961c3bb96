package config

import (
	"encoding/base64"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
)

// Operator is the file that sets up what is off on the platform, as JSON with comments. A part that is absent stays
// off. With "proxy" it tells all that LB_CONFIG would, and the program runs without the platform.
type Operator struct {
	Proxy        *Proxy        `json:"proxy"`
	Limits       *Limits       `json:"limits"`
	Site         *Site         `json:"site"`
	Classes      []Class       `json:"classes"`
	Servers      *Servers      `json:"servers"`
	Admin        *Admin        `json:"admin"`
	State        *State        `json:"state"`
	Log          Log           `json:"log"`
	Signed       *Signed       `json:"signed"`
	Store        Store         `json:"store"`
	SNMP         *SNMP         `json:"snmp"`
	Peers        *Peers        `json:"peers"`
	Distribution *Distribution `json:"distribution"`
	Path         string        `json:"-"`
	Keys         KeyRing       `json:"-"`
	LogOpt       logs.Options  `json:"-"`
}

// KeyRing are the signing keys of a file, by their id.
type KeyRing map[string]store.Key

// OpenStore starts this member of the store; facts is as store.Options.Facts.
func (o *Operator) OpenStore(clk *clock.Clock, facts func(storestate.Change)) (*store.Store, error) {
	s := o.Store
	so := store.Options{Timeout: o.Timeout(), Clock: clk, Peers: s.Peers, Join: s.Join, Dir: s.Dir, Facts: facts}
	if s.Name != "" {
		id, err := store.LoadIdentity(s.Identity, s.Name)
		if err != nil {
			return nil, err
		}
		if err := os.MkdirAll(s.Dir, 0o700); err != nil {
			return nil, err
		}
		so.Self, so.Identity = store.Member{Name: s.Name, Addr: s.Listen}, id
	}
	return store.Open(so)
}

// Proxy is who this proxy is.
type Proxy struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Zone   string `json:"zone"`
	Seed   uint64 `json:"seed"` // 0: drawn at the start
	Rank   int    `json:"rank"` // among all proxies, from 0
}

// Limits bound what the proxy takes and gives. Times are in ms.
type Limits struct {
	Cores          float64 `json:"cores"`
	MemoryMB       int     `json:"memory_mb"` // 0: not bounded
	Sockets        int     `json:"sockets"`
	Requests       int     `json:"requests"` // open at once
	Tries          int     `json:"tries"`
	StreamsPerConn int     `json:"streams_per_connection"`
	Connect        float64 `json:"connect_ms"`
	Idle           float64 `json:"idle_ms"` // after which a cache server closes an idle connection
	Backoff        float64 `json:"backoff_ms"`
}

// Site is what all proxies of a site share. Times are in ms.
type Site struct {
	Zones       []string           `json:"zones"`
	HomeHub     map[string]string  `json:"home_hub"` // of zones with clients
	Proxies     map[string]int     `json:"proxies"`  // by zone; one without has no clients
	Links       map[string]float64 `json:"link_kb_per_s"`
	Kinds       []string           `json:"kinds"`
	ParentKind  string             `json:"parent_kind"`
	OriginKind  string             `json:"origin_kind"`
	Flow        float64            `json:"flow_kb_per_s"`
	Siblings    string             `json:"siblings"` // none, location or any
	SecondCopy  bool               `json:"second_copies"`
	Direct      bool               `json:"direct"` // a request may go straight to a parent or the origin
	Joins       bool               `json:"joins"`  // a request may join a fill that is under way
	DrainGrace  float64            `json:"drain_grace_ms"`
	PurgeGrace  float64            `json:"purge_grace_ms"`
	PurgeTakes  float64            `json:"purge_takes_ms"`
	AnswerSlack float64            `json:"answer_slack_ms"`
	Cold        *Cold              `json:"cold"`
	ParentCold  *Cold              `json:"parent_cold"`
}

// Cold is how much a server that was just started bears.
type Cold struct {
	From       float64 `json:"from"` // share of its capacity at its start
	WarmWithin float64 `json:"warm_within_ms"`
	Multiple   float64 `json:"falls_at"` // times what it can do at that moment
	Within     float64 `json:"falls_within_ms"`
}

// Class is one class of requests. Times are in ms.
type Class struct {
	Name       string  `json:"name"`
	Target     float64 `json:"target_ms"`
	Stretch    float64 `json:"stretch"`
	Deadline   float64 `json:"deadline_ms"`
	Worth      float64 `json:"worth"`
	LateValue  float64 `json:"late_value"`
	Effect     string  `json:"effect"` // idempotent, deduplicated or at_most_once
	Group      string  `json:"group"`  // for deduplicated: all, zone or cell
	Window     float64 `json:"window_ms"`
	Uncached   bool    `json:"uncached"` // runs at the origin
	InParts    bool    `json:"in_parts"`
	Fresh      float64 `json:"fresh_ms"` // 0: until purged
	Stale      float64 `json:"stale_ms"`
	StaleWorth float64 `json:"stale_worth"`
}

// Servers are the lists that are watched on disk. Times are in ms.
type Servers struct {
	Path        string  `json:"path"` // of a file or a directory; from the operator's file if it is relative
	Quiet       float64 `json:"quiet_ms"`
	Most        float64 `json:"most_wait_ms"`
	Poll        float64 `json:"poll_ms"`
	Drain       float64 `json:"drain_ms"`
	Remember    float64 `json:"remember_ms"`
	MostDropped float64 `json:"most_dropped"`
	WeightStep  float64 `json:"weight_step"`
	WeightEvery float64 `json:"weight_every_ms"`
	Resolve     float64 `json:"resolve_ms"`
	TTL         float64 `json:"ttl_ms"`
}

// Admin is the operators' own address: a unix socket (unix:PATH) or one on loopback.
type Admin struct {
	Listen string `json:"listen"`
}

// State is the journal of what must survive a crash. Times are in ms.
type State struct {
	Dir   string  `json:"dir"` // from the operator's file if it is relative; a process alone uses it
	Delay float64 `json:"delay_ms"`
}

// Log is how loud the log is, and its form.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Signed sets up the front of signed links and tokens.
type Signed struct {
	Listen   string         `json:"listen"`
	Audience string         `json:"audience"`
	LeewayMs float64        `json:"leeway_ms"`
	Keys     map[string]Key `json:"keys"` // put into the store at the start
}

// Key is a signing key in base64: PKIX DER of a public key, or an HMAC secret.
type Key struct {
	Alg string `json:"alg"`
	Key string `json:"key"`
}

// Store is this member of the replicated store. Without "name" it is alone and in memory.
type Store struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`   // for the other members: mutual TLS
	Peers     []store.Member `json:"peers"`    // of a new cluster, this one among them
	Join      string         `json:"join"`     // the address of a member to join, in place of peers
	Dir       string         `json:"dir"`      // of the log
	Identity  string         `json:"identity"` // the directory of ca.crt, NAME.crt and NAME.key
	TimeoutMs float64        `json:"timeout_ms"`
}

// SNMP sets up the agent.
type SNMP struct {
	Listen    string `json:"listen"`
	Community string `json:"community"`
}

// Peers sets up the talk with other processes. Times are in ms.
type Peers struct {
	Name      string            `json:"name"`      // empty: the proxy's
	Listen    string            `json:"listen"`    // UDP and TCP, for the others
	Advertise string            `json:"advertise"` // the address that others are told; empty: listen
	Seeds     []string          `json:"seeds"`     // addresses of any others
	Seen      map[string]string `json:"as_seen"`   // addresses of others as seen from here, by name
	Zone      string            `json:"zone"`      // empty: the proxy's
	Region    string            `json:"region"`
	Identity  string            `json:"identity"` // the directory of ca.crt, NAME.crt and NAME.key
	Dir       string            `json:"dir"`      // where starts are counted; empty: by the clock alone
	Every     float64           `json:"every_ms"` // between two digests
}

// LoadOperator reads an operator's file; with no path all of it is off.
func LoadOperator(path string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperator(path, raw)
}

// ParseOperator reads the text of an operator's file. The error is strictjson.Defects: all that is wrong, by line.
func ParseOperator(path string, raw []byte) (*Operator, error) {
	o := &Operator{Path: path, Keys: KeyRing{}}
	doc := strictjson.Decode(path, raw, o)
	if doc.Ok() {
		o.check(doc)
	}
	doc.Defects.Sort()
	if err := doc.Defects.Err(); err != nil {
		return nil, err
	}
	if s := o.Servers; s != nil && !filepath.IsAbs(s.Path) {
		s.Path = filepath.Join(filepath.Dir(path), s.Path)
	}
	if s := o.State; s != nil && !filepath.IsAbs(s.Dir) {
		s.Dir = filepath.Join(filepath.Dir(path), s.Dir)
	}
	dirs := []*string{&o.Store.Dir, &o.Store.Identity}
	if o.Peers != nil {
		dirs = append(dirs, &o.Peers.Identity, &o.Peers.Dir)
	}
	if o.Distribution != nil {
		dirs = append(dirs, &o.Distribution.Identity)
	}
	for _, dir := range dirs {
		if *dir != "" && !filepath.IsAbs(*dir) {
			*dir = filepath.Join(filepath.Dir(path), *dir)
		}
	}
	return o, nil
}

// checker says what is wrong with the fields of one part.
type checker struct {
	doc  *strictjson.Doc
	part string
}

func (c checker) at(field string) string {
	if c.part == "" {
		return field
	}
	return c.part + "." + field
}

func (c checker) given(field, value string) {
	if value == "" {
		c.doc.Fail(c.at(field), "%s needs %s", c.part, field)
	}
}

// within puts the usual value in place of one that is not given, and holds it to its bounds.
func (c checker) within(field string, v *float64, usual, least, most float64) {
	if !c.doc.Has(c.at(field)) {
		*v = usual
	}
	if *v < least || *v > most {
		c.doc.Fail(c.at(field), "%s %.10g is not %.10g to %.10g", field, *v, least, most)
	}
}

func (c checker) count(field string, v *int, usual, least, most int) {
	f := float64(*v)
	c.within(field, &f, float64(usual), float64(least), float64(most))
	*v = int(f)
}

func (c checker) address(field, value string, loopback bool) {
	host, port, err := net.SplitHostPort(value)
	ip, notIP := netip.ParseAddr(host)
	switch {
	case err != nil || port == "" || notIP != nil:
		c.doc.Fail(c.at(field), "%s %q is not of the form 127.0.0.1:4100", field, value)
	case loopback && !ip.IsLoopback():
		c.doc.Fail(c.at(field), "%s %q is not on loopback", field, value)
	}
}

func (c checker) oneOf(field, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.doc.Fail(c.at(field), "%s %q is none of %s", field, value, strings.TrimPrefix(strings.Join(words, ", "), ", "))
	}
}

// Bounds of times: a day is more than any of them makes sense with.
const day = 24 * 3600 * 1000

func (o *Operator) check(doc *strictjson.Doc) {
	alone := o.Proxy != nil
	for field, given := range map[string]bool{"limits": o.Limits != nil, "site": o.Site != nil, "classes": len(o.Classes) > 0} {
		switch {
		case given && !alone:
			doc.Fail(field, "%s goes with proxy: without it the platform tells this", field)
		case !given && alone:
			doc.Fail("proxy", "proxy needs %s: the program is to run without the platform", field)
		}
	}
	if alone && o.Servers == nil {
		doc.Fail("proxy", "proxy needs servers: there is no notice board to tell them")
	}
	if alone && o.Limits != nil && o.Site != nil {
		o.checkAlone(doc)
	}
	if s := o.Servers; s != nil {
		c := checker{doc, "servers"}
		c.given("path", s.Path)
		c.within("quiet_ms", &s.Quiet, 200, 10, 60_000)
		c.within("most_wait_ms", &s.Most, 5000, s.Quiet, 600_000)
		c.within("poll_ms", &s.Poll, 5000, 100, day)
		c.within("drain_ms", &s.Drain, o.longest()+1000, 0, day)
		c.within("remember_ms", &s.Remember, 600_000, 0, day)
		c.within("most_dropped", &s.MostDropped, 0.34, 0, 1)
		c.within("weight_step", &s.WeightStep, 2, 1, 1000)
		c.within("weight_every_ms", &s.WeightEvery, 2000, 1, day)
		c.within("resolve_ms", &s.Resolve, 2000, 10, 60_000)
		c.within("ttl_ms", &s.TTL, 30_000, 100, day)
	}
	if a := o.Admin; a != nil {
		if path, unix := strings.CutPrefix(a.Listen, "unix:"); !unix {
			checker{doc, "admin"}.address("listen", a.Listen, true)
		} else if path == "" || len(path) > 100 {
			doc.Fail("admin.listen", "a unix socket needs a path of 1 to 100 characters")
		}
	}
	if s := o.State; s != nil {
		c := checker{doc, "state"}
		c.given("dir", s.Dir)
		c.within("delay_ms", &s.Delay, 0, 0, 1000)
	}
	if p := o.Peers; p != nil {
		c := checker{doc, "peers"}
		c.address("listen", p.Listen, false)
		if p.Advertise != "" {
			c.address("advertise", p.Advertise, false)
		}
		for i, seed := range p.Seeds {
			c.address(fmt.Sprintf("seeds[%d]", i), seed, false)
		}
		for _, name := range slices.Sorted(maps.Keys(p.Seen)) {
			c.address("as_seen."+name, p.Seen[name], false)
		}
		c.given("identity", p.Identity)
		c.within("every_ms", &p.Every, 1000, 100, 60_000)
	}
	o.LogOpt = logs.Options{Level: o.Log.Level, Format: o.Log.Format}
	checker{doc, "log"}.oneOf("level", o.Log.Level, "", "debug", "info", "warn", "error")
	checker{doc, "log"}.oneOf("format", o.Log.Format, "", "auto", "text", "json")
	if s := o.Signed; s != nil {
		c := checker{doc, "signed"}
		c.given("audience", s.Audience)
		c.address("listen", s.Listen, false)
		c.within("leeway_ms", &s.LeewayMs, 0, 0, day)
		for kid, k := range s.Keys {
			data, err := base64.StdEncoding.DecodeString(k.Key)
			if err != nil || len(data) == 0 {
				doc.Fail("signed.keys."+kid+".key", "key %q is not base64", kid)
			}
			checker{doc, "signed.keys." + kid}.oneOf("alg", k.Alg, "HS256", "ES256", "EdDSA")
			o.Keys[kid] = store.Key{Alg: k.Alg, Data: data}
		}
	}
	o.checkStore(doc)
	o.checkDistribution(doc)
	if s := o.SNMP; s != nil {
		c := checker{doc, "snmp"}
		c.address("listen", s.Listen, false)
		c.given("community", s.Community)
	}
}

func (o *Operator) checkStore(doc *strictjson.Doc) {
	s := &o.Store
	c := checker{doc, "store"}
	c.within("timeout_ms", &s.TimeoutMs, 2000, 10, 60_000)
	if s.Name == "" {
		for _, field := range []string{"listen", "peers", "join", "dir", "identity"} {
			if doc.Has("store." + field) {
				doc.Fail("store."+field, "%s goes with name: a store without one is alone and in memory", field)
			}
		}
		return
	}
	c.address("listen", s.Listen, false)
	c.given("dir", s.Dir)
	c.given("identity", s.Identity)
	if (len(s.Peers) == 0) == (s.Join == "") {
		doc.Fail("store", "store needs peers, of a new cluster, or join, the address of a member of one")
	}
	if s.Join != "" {
		c.address("join", s.Join, false)
	}
	self := len(s.Peers) == 0
	for i, p := range s.Peers {
		checker{doc, fmt.Sprintf("store.peers[%d]", i)}.address("addr", p.Addr, false)
		self = self || p.Name == s.Name && p.Addr == s.Listen
	}
	if !self {
		doc.Fail("store.peers", "peers do not hold %q at %s", s.Name, s.Listen)
	}
}

// longest is the longest deadline of a class, 3 s at least.
func (o *Operator) longest() float64 {
	most := 3000.0
	for _, c := range o.Classes {
		most = max(most, c.Deadline)
	}
	return most
}

func (o *Operator) checkAlone(doc *strictjson.Doc) {
	p, l, s := o.Proxy, o.Limits, o.Site
	c := checker{doc, "proxy"}
	c.given("name", p.Name)
	c.address("listen", p.Listen, false)
	c.count("rank", &p.Rank, 0, 0, 10_000)

	c = checker{doc, "limits"}
	c.within("cores", &l.Cores, 1, 0.1, 256)
	c.count("memory_mb", &l.MemoryMB, 0, 0, 1<<20)
	c.count("sockets", &l.Sockets, 1024, 32, 1<<20)
	c.count("requests", &l.Requests, 4096, 1, 1<<20)
	c.count("tries", &l.Tries, 8, 1, 64)
	c.count("streams_per_connection", &l.StreamsPerConn, 32, 1, 1000)
	c.within("connect_ms", &l.Connect, 400, 1, 60_000)
	c.within("idle_ms", &l.Idle, 30_000, 0, day)
	c.within("backoff_ms", &l.Backoff, 500, 0, 60_000)

	c = checker{doc, "site"}
	for field, list := range map[string][]string{"zones": s.Zones, "kinds": s.Kinds} {
		if len(list) == 0 || len(list) > 256 {
			doc.Fail(c.at(field), "site needs 1 to 256 %s", field)
		}
		for i, x := range list {
			if x == "" || slices.Index(list, x) != i {
				doc.Fail(fmt.Sprintf("site.%s[%d]", field, i), "%q is empty or named twice", x)
			}
		}
	}
	known := func(path, what, name string, list []string) {
		if !slices.Contains(list, name) {
			doc.Fail(path, "unknown %s %q", what, name)
		}
	}
	known("proxy.zone", "zone", p.Zone, s.Zones)
	if s.ParentKind != "" {
		known("site.parent_kind", "kind", s.ParentKind, s.Kinds)
	}
	known("site.origin_kind", "kind", s.OriginKind, s.Kinds)
	if s.ParentKind == s.OriginKind {
		doc.Fail("site.origin_kind", "parents and the origin are of kinds of their own")
	}
	for z, hub := range s.HomeHub {
		known("site.home_hub."+z, "zone", z, s.Zones)
		known("site.home_hub."+z, "zone", hub, s.Zones)
	}
	for z, n := range s.Proxies {
		known("site.proxies."+z, "zone", z, s.Zones)
		if n < 0 || n > 10_000 {
			doc.Fail("site.proxies."+z, "%d proxies are not 0 to 10000", n)
		}
	}
	if s.Proxies[p.Zone] < 1 && slices.Contains(s.Zones, p.Zone) {
		doc.Fail("site.proxies", "zone %q has this proxy, and proxies counts none there", p.Zone)
	}
	for z, v := range s.Links {
		known("site.link_kb_per_s."+z, "zone", z, s.Zones)
		if v < 0 {
			doc.Fail("site.link_kb_per_s."+z, "a link of %v KB a second", v)
		}
	}
	if s.Siblings == "" {
		s.Siblings = "location"
	}
	c.oneOf("siblings", s.Siblings, "none", "location", "any")
	c.within("flow_kb_per_s", &s.Flow, 0, 0, 1e9)
	c.within("drain_grace_ms", &s.DrainGrace, 2000, 0, day)
	c.within("purge_grace_ms", &s.PurgeGrace, 1000, 0, day)
	c.within("purge_takes_ms", &s.PurgeTakes, 6000, 0, day)
	c.within("answer_slack_ms", &s.AnswerSlack, 50, 0, 60_000)
	usual := map[string]Cold{
		"cold": {0.15, 18_000, 3, 3000}, "parent_cold": {0.06, 22_000, 2, 3000},
	}
	for field, v := range map[string]**Cold{"cold": &s.Cold, "parent_cold": &s.ParentCold} {
		if *v == nil {
			*v = &Cold{}
		}
		c, u := checker{doc, "site." + field}, usual[field]
		c.within("from", &(*v).From, u.From, 0.001, 1)
		c.within("warm_within_ms", &(*v).WarmWithin, u.WarmWithin, 0, day)
		c.within("falls_at", &(*v).Multiple, u.Multiple, 1, 1000)
		c.within("falls_within_ms", &(*v).Within, u.Within, 1, day)
	}

	names := map[string]bool{}
	for i := range o.Classes {
		k := &o.Classes[i]
		c := checker{doc, fmt.Sprintf("classes[%d]", i)}
		if k.Name == "" || names[k.Name] || strings.ContainsAny(k.Name, " ,=\r\n") {
			doc.Fail(c.at("name"), "class %q is empty, named twice or can't be written in a field", k.Name)
		}
		names[k.Name] = true
		if k.Effect == "" {
			k.Effect = "idempotent"
		}
		c.oneOf("effect", k.Effect, "idempotent", "deduplicated", "at_most_once")
		c.oneOf("group", k.Group, "", "all", "zone", "cell")
		c.within("deadline_ms", &k.Deadline, 0, 1, day)
		c.within("target_ms", &k.Target, k.Deadline, 1, k.Deadline)
		c.within("stretch", &k.Stretch, 0, 0, 1000)
		c.within("worth", &k.Worth, 1, 0, 1e6)
		c.within("late_value", &k.LateValue, 0.1, 0, 1)
		c.within("window_ms", &k.Window, 0, 0, day)
		if k.Effect == "deduplicated" && k.Window == 0 {
			doc.Fail(c.at("window_ms"), "a deduplicated class needs window_ms: for how long repeats are discarded")
		}
		c.within("fresh_ms", &k.Fresh, 0, 0, 365*day)
		c.within("stale_ms", &k.Stale, 0, 0, 365*day)
		c.within("stale_worth", &k.StaleWorth, 0.7, 0, 1)
		if k.Uncached && k.Fresh > 0 {
			doc.Fail(c.at("fresh_ms"), "an uncached class keeps nothing that could be fresh")
		}
	}
}

// Timeout is how long a change to the store may take.
func (o *Operator) Timeout() time.Duration {
	return time.Duration(o.Store.TimeoutMs * float64(time.Millisecond))
}
