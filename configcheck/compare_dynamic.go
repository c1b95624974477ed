package configcheck

import (
	"reflect"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// CompareDynamic is Compare for configurations of package dynconfig. Classes take the place of routes.
func CompareDynamic(before, after *dynconfig.Config) []Difference {
	var d differences
	pair(before.ClientAccounts, after.ClientAccounts, func(a *dynconfig.ClientAccount) string { return a.Name },
		func(a *dynconfig.ClientAccount) { d.add(RemovedAccount, "account "+a.Name, "removed") },
		func(a *dynconfig.ClientAccount) { d.add(OtherDifference, "account "+a.Name, "added") },
		func(a, b *dynconfig.ClientAccount) {
			if w, v := max(a.Weight, 1), max(b.Weight, 1); v < w {
				d.add(LoweredRate, "account "+a.Name, "weight lowered from %d to %d", w, v)
			} else if v > w {
				d.add(OtherDifference, "account "+a.Name, "weight raised from %d to %d", w, v)
			}
		})
	pair(before.Services, after.Services, func(s *dynconfig.Service) string { return s.Name },
		func(s *dynconfig.Service) {
			d.add(RemovedRoute, "service "+s.Name, "removed, with %d classes", len(s.Classes))
		},
		func(s *dynconfig.Service) { d.add(OtherDifference, "service "+s.Name, "added") },
		d.dynamicService)
	pair(before.Zones, after.Zones, func(z *dynconfig.Zone) string { return z.Name },
		func(z *dynconfig.Zone) { d.add(RemovedService, "zone "+z.Name, "removed") },
		func(z *dynconfig.Zone) { d.add(OtherDifference, "zone "+z.Name, "added") },
		func(_, _ *dynconfig.Zone) {})
	pair(before.Stops, after.Stops, stopName,
		func(s *dynconfig.Stop) { d.add(OtherDifference, stopName(s), "returned to service") },
		func(s *dynconfig.Stop) { d.add(RemovedService, stopName(s), "stopped") },
		func(_, _ *dynconfig.Stop) {})
	return d.sorted()
}

func stopName(s *dynconfig.Stop) string {
	if s.Zone != "" {
		return "zone " + s.Zone
	}
	return "upstream " + s.Upstream
}

func (d *differences) dynamicService(a, b *dynconfig.Service) {
	before, after := a.WithDefaults(), b.WithDefaults()
	item := func(c *dynconfig.Class) string { return "class " + before.Name + "/" + c.Name }
	pair(before.Classes, after.Classes, func(c *dynconfig.Class) string { return c.Name },
		func(c *dynconfig.Class) { d.add(RemovedRoute, item(c), "removed (%s)", c.PathPrefix) },
		func(c *dynconfig.Class) { d.add(OtherDifference, item(c), "added (%s)", c.PathPrefix) },
		func(a, b *dynconfig.Class) {
			if a.Method != b.Method || a.PathPrefix != b.PathPrefix || a.Idempotent != b.Idempotent {
				d.add(ChangedRoute, item(a), "method, path prefix or idempotency changed")
			}
			if b.TimeoutMillis < a.TimeoutMillis {
				d.add(LoweredTimeout, item(a), "timeout lowered from %d to %d ms", a.TimeoutMillis, b.TimeoutMillis)
			} else if *a != *b {
				d.add(OtherDifference, item(a), "changed")
			}
		})
	before.Classes, after.Classes = nil, nil
	if !reflect.DeepEqual(before, after) {
		d.add(OtherDifference, "service "+before.Name, "changed")
	}
}
