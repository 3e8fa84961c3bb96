package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/config"
	"ravenwheel/policy"
)

// platform is a valid configuration of the platform. It has a deduplicated class and known link rates, has no cells, and lets
// requests bypass caches.
const platform = `{"name":"n0","listen":"127.0.0.1:4100","seed":"8c1f30d27a5be964","board":"127.0.0.1:9092",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"rev":1,"notices":[{"rev":1,"pool":{"reset":true,"instances":[
  {"instanceId":"s-00000001","hostPort":"10.1.0.9:4100","zone":"gate-1","machineType":"small","lifecycle":"up","weight":9}]}}]},
 "settings":{"NInstances":3,"Rank":1,"Zone":2,"Zones":["north","south","gate-1","gate-2"],"Kinds":["small","parent","origin"],
  "Weights":"nominal",
  "Bounds":{"Cancel":true,"StreamsPerConn":32,"MostTries":8,"ConnIdleUs":30000000,"ConnectTimeoutUs":400000,"MostHeld":21419},
  "Rules":{"DrainGraceUs":2000000,"FallMultiple":2.5,"FallUs":1500000,"WarmWithinUs":17000000,"ColdFrom":0.2},
  "Grades":[{"Name":"tiles","Effect":"idempotent","Group":"all","TargetUs":500000,"DeadlineUs":6000000,"AimStretch":2,"Worth":2},
   {"Name":"reports","Effect":"deduplicated","Group":"all","WindowUs":6000000,"TargetUs":600000,"DeadlineUs":3000000,"Worth":3}],
  "FamilyInfo":{"ClassFreshUs":[0,0],"InParts":[false,false],"Uncached":[false,true],"ZoneBalancers":[0,0,2,1],"HomeHub":[0,1,0,1],
   "ZoneLinkKbPerS":[0,0,91000.5,45000],"SecondTierKind":1,"RootKind":2,"MayPassBy":true,"SharesFills":true,"FlowKbPerS":7800,
   "PurgeTakesUs":6000000,"NoticeTimeUs":1000000}}}`

func parse(text string) (*config.Config, error) {
	return config.Parse([]byte(text), func(string) string { return "" })
}

func TestParsePlatformConfig(t *testing.T) {
	c, err := parse(platform)
	require.NoError(t, err)
	require.Equal(t, []string{"tiles", "reports"}, c.Classes)
	require.Equal(t, policy.IdempotentByKey, c.Settings.Classes[1].Idempotency)
	require.True(t, c.Settings.WeightsKnown && c.Settings.MayBypassCaches && c.Settings.CoalescesFills)
	require.Equal(t, []float64{0, 0, 91000.5, 45000}, c.Settings.LinkKBPerS)
	require.Equal(t, 32, c.AttemptsPerConn)
	require.Equal(t, 400.0, c.ConnectTimeoutMs)

	// Other forms of the same numbers are accepted.
	otherNumberForms := strings.NewReplacer("192", "192.0", "1024", "1.024e3", "6000000", "6e6", `"Zone":2`, `"Zone":2.0`, ":32,", ":32.0,").Replace(platform)
	reparsed, err := parse(otherNumberForms)
	require.NoError(t, err)
	require.Equal(t, c, reparsed)

	// Absent limits have defaults. Without them, connecting would take minutes to fail, and a connection would carry one attempt
	// value a time.
	withoutLimits := strings.Replace(strings.Replace(platform, `"ConnectTimeoutUs":400000,`, "", 1), `"StreamsPerConn":32,`, "", 1)
	c, err = parse(withoutLimits)
	require.NoError(t, err)
	require.Equal(t, 32, c.AttemptsPerConn)
	require.Equal(t, 400.0, c.ConnectTimeoutMs)
}

// Each invalid change of a valid configuration is rejected with the one line want.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"Grades":[`, `"Grads":[`, "settings.Grades: there are no classes"},
		{`"DeadlineUs":6000000`, `"DeadlineUs":0`, "settings.Grades[0].DeadlineUs: 0 is not above 0"},
		{`,"DeadlineUs":3000000`, ``, "settings.Grades[1].DeadlineUs: 0 is not above 0"},
		{`"Effect":"idempotent"`, `"Effect":"safe"`, `settings.Grades[0].Effect: "safe" is not one of idempotent, deduplicated, at_most_once`},
		{`"Effect":"deduplicated","Group":"all"`, `"Effect":"deduplicated","Group":"hall"`, `settings.Grades[1].Group: unknown group "hall", want all, zone or cell`},
		{`"WindowUs":6000000,`, ``, "settings.Grades[1].WindowUs: 0 is not above 0: a deduplicated class needs the time during which repeats are discarded"},
		{`"Name":"reports"`, `"Name":"tiles"`, `settings.Grades[1].Name: class name "tiles" is empty, named twice or contains a space, a comma, an equals sign or a line break`},
		{`"Name":"reports"`, `"Name":"a=b"`, `settings.Grades[1].Name: class name "a=b" is empty, named twice or contains a space, a comma, an equals sign or a line break`},
		{`"Worth":3`, `"Worth":-3`, "settings.Grades[1].Worth: -3 is below 0"},
		{`"ClassFreshUs":[0,0]`, `"ClassFreshUs":[0]`, "settings.FamilyInfo.ClassFreshUs: 1 values for 2 classes"},
		{`"Uncached":[false,true]`, `"Uncached":[false]`, "settings.FamilyInfo.Uncached: 1 values for 2 classes"},
		{`"InParts":[false,false]`, `"InParts":[false,false,true]`, "settings.FamilyInfo.InParts: 3 values for 2 classes"},
		{`"ZoneBalancers":[0,0,2,1]`, `"ZoneBalancers":[0,0,2]`, "settings.FamilyInfo.ZoneBalancers: 3 values for 4 zones"},
		{`"HomeHub":[0,1,0,1]`, `"HomeHub":[0,1]`, "settings.FamilyInfo.HomeHub: 2 values for 4 zones"},
		{`"HomeHub":[0,1,0,1]`, `"HomeHub":[0,1,0,4]`, "settings.FamilyInfo.HomeHub[3]: 4 is not an index of one of the 4 zones"},
		{`"ZoneLinkKbPerS":[0,0,`, `"ZoneLinkKbPerS":[0,`, "settings.FamilyInfo.ZoneLinkKbPerS: 3 values for 4 zones"},
		{`"Zone":2`, `"Zone":4`, "settings.Zone: 4 is not an index of one of the 4 zones"},
		{`"south"`, `"north"`, `settings.Zones[1]: "north" is named twice`},
		{`"RootKind":2`, `"RootKind":3`, "settings.FamilyInfo.RootKind: 3 is not an index of one of the 3 kinds"},
		{`"RootKind":2`, `"RootKind":1`, "settings.FamilyInfo.RootKind: 1 is also SecondTierKind: parents and the origin must be of different kinds"},
		{`"FallUs":1500000`, `"FallUs":-1`, "settings.Rules.FallUs: -1 is below 0"},
		{`"MostTries":8`, `"MostTries":-8`, "settings.Bounds.MostTries: -8 is below 0"},
		{`"DeadlineUs":6000000`, `"DeadlineUs":"6 s"`, "settings.Grades.DeadlineUs: string found, number wanted"},
		{`"StreamsPerConn":32`, `"StreamsPerConn":"32"`, "settings.Bounds.StreamsPerConn: unexpected string"},
		{`"Zones":["north"`, `"Zones":[7`, "settings.Zones: unexpected number"},
		{`"memory_mb":192`, `"memory_mb":"192"`, "Limits.memory_mb: unexpected string"},
		{`"sockets":1024`, `"sockets":-1`, "limits.sockets: -1 is below 0"},
		{`"cores":1.0,`, `"cores":1.0,,`, "2:24: invalid character ',' looking for beginning of object key string"},
		{`"settings":`, `"setings":`, "settings or known is missing"},
		{`"known":`, `"knows":`, "settings or known is missing"},
		{`"seed":"8c1f30d27a5be964",`, ``, `seed "" is not a hexadecimal number`},
		{`"machineType":"small"`, `"machineType":"tiny"`, `known: notice 1: s-00000001: unknown lifecycle "up", zone "gate-1" or machineType "tiny"`},
	} {
		require.Contains(t, platform, c.from)
		_, err := parse(strings.Replace(platform, c.from, c.to, 1))
		require.EqualError(t, err, c.want, c.to)
	}
}

// A truncated configuration is rejected with a one-line error. A configuration of which one field is absent or has another type
// is either rejected with a one-line error or can start a router.
func TestTruncatedOrMistypedConfigIsRejected(t *testing.T) {
	for n := range len(platform) {
		_, err := parse(platform[:n])
		require.Error(t, err, n)
		require.NotContains(t, err.Error(), "\n")
	}
	var root any
	require.NoError(t, json.Unmarshal([]byte(platform), &root))
	forEachMutation(root, func() {
		raw, err := json.Marshal(root)
		require.NoError(t, err)
		c, err := parse(string(raw))
		if err != nil {
			require.NotContains(t, err.Error(), "\n")
			return
		}
		_, err = policy.New(c.Settings, c.Seed)
		require.NoError(t, err, "a router must start with every accepted configuration")
	})
}

// forEachMutation calls try once for each change of a field below value: absent, null, or of another type.
func forEachMutation(value any, try func()) {
	switch x := value.(type) {
	case map[string]any:
		for k, v := range x {
			delete(x, k)
			try()
			for _, other := range []any{nil, "text", -1.5, 1e300, true, []any{}, []any{"text"}, map[string]any{}} {
				x[k] = other
				try()
			}
			x[k] = v
			forEachMutation(v, try)
		}
	case []any:
		for i, v := range x {
			for _, other := range []any{nil, "text", -1.5, 1e300, true, []any{}, map[string]any{}} {
				x[i] = other
				try()
			}
			x[i] = v
			forEachMutation(v, try)
		}
	}
}
