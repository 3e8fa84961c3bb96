package multiprocess

import (
	"fmt"
	"slices"
)

// configure writes what a process is told: by the platform's page, with the list as it stands.
func (f *Field) configure(p *Process, board string) error {
	o := f.opt
	zoneBalancers, fresh, stale := make([]int, o.Zones+1), []int64{}, []int64{}
	for z := range o.Zones {
		zoneBalancers[z] = o.Processes
	}
	grades, uncached, inParts := []any{}, []bool{}, []bool{}
	for _, k := range o.Classes {
		g := map[string]any{
			"Name": k.Name, "Effect": "idempotent", "TargetUs": 400_000, "DeadlineUs": int64(k.DeadlineMs * 1000), "Worth": 1.0, "AimStretch": 1.6,
		}
		if k.Write {
			g["Effect"], g["Worth"] = "at_most_once", 3.0
		}
		grades, uncached, inParts = append(grades, g), append(uncached, k.Write), append(inParts, k.PartsPerObject > 1)
		fresh, stale = append(fresh, 0), append(stale, 0)
	}
	return p.Configure(map[string]any{
		"name": p.Name, "listen": p.Listen, "board": board, "seed": fmt.Sprintf("%016x", f.opt.Seed*1_000_003+uint64(p.starts)<<32+hashName(p.Name)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": f.Board.InitialEvents(),
		"settings": map[string]any{
			"NInstances": o.Zones * o.Processes, "Rank": slices.Index(f.Processes, p), "Zone": p.Zone, "Zones": f.zones(), "Kinds": f.kinds(),
			"Weights": "nominal",
			"Bounds": map[string]any{
				"Cancel": true, "RetryAfter": true, "MostTries": 8, "MaxRetryAfterUs": 500_000, "ConnectTimeoutUs": 400_000, "ConnIdleUs": 4_000_000,
				"StreamsPerConn": 32, "MostHeld": 2048,
			},
			"Rules": map[string]any{
				"DrainGraceUs": int64(drainGrace * 1000), "ColdFrom": 0.25, "FallMultiple": 2.0, "FallUs": 1_000_000, "WarmWithinUs": 10_000_000,
			},
			"Grades": grades,
			"FamilyInfo": map[string]any{
				"SecondTierKind": kindParent, "RootKind": kindOrigin, "NoteLevel": "all", "PeersFill": "location", "SharesFills": true, "MayPassBy": true,
				"ZoneBalancers": zoneBalancers, "Uncached": uncached, "InParts": inParts, "ClassFreshUs": fresh, "StaleForUs": stale,
				"PurgeTakesUs": int64(purgeTakes * 1000), "NoticeTimeUs": int64(purgeGrace * 1000), "FlowKbPerS": 100_000.0,
				"ParentColdFrom": 0.25, "ParentBreaksAt": 2.0, "ParentWarmsInUs": 10_000_000,
			},
		},
	})
}

// hashName spreads seeds over names (FNV-1a).
func hashName(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
