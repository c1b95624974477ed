package configcheck

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/bramleypick/bramleypick/routing"
)

// roundingError is the difference of two shares that can come from rounding.
const roundingError = 1e-9

var kindNames = map[routing.Kind]string{
	routing.Idempotent: "idempotent", routing.NonIdempotent: "non-idempotent", routing.Download: "download", routing.Upload: "upload",
}

// Compare returns the differences of the configuration after from the one in force, most harmful first.
func Compare(before, after *routing.Config) []Difference {
	var d differences
	if after.RequireKey && !before.RequireKey {
		d.add(RemovedKeys, "accounts", "requests without a key are refused from now on, except on public routes")
	}
	if before.RequireKey && !after.RequireKey {
		d.add(RemovedKeys, "accounts", "no accounts are declared: requests need no key any more")
	}
	pair(before.Accounts, after.Accounts, func(a *routing.Account) string { return a.Name },
		func(a *routing.Account) {
			d.add(RemovedAccount, "account "+a.Name, "removed, with %d keys", len(a.KeyDigests))
		},
		func(a *routing.Account) {
			d.add(OtherDifference, "account "+a.Name, "added, with %d keys", len(a.KeyDigests))
		},
		d.account)
	pair(before.Routes, after.Routes, func(r *routing.Route) string { return r.Name },
		func(r *routing.Route) { d.add(RemovedRoute, "route "+r.Name, "removed (%s%s)", r.Host, r.PathPrefix) },
		func(r *routing.Route) { d.add(OtherDifference, "route "+r.Name, "added (%s%s)", r.Host, r.PathPrefix) },
		d.route)
	pair(before.Services, after.Services, func(s *routing.Service) string { return s.Name },
		func(s *routing.Service) { d.add(RemovedService, "service "+s.Name, "removed") },
		func(s *routing.Service) { d.add(OtherDifference, "service "+s.Name, "added") },
		func(a, b *routing.Service) {
			if !bytes.Equal(a.Source, b.Source) {
				d.add(OtherDifference, "service "+a.Name, "changed")
			}
		})
	if !bytes.Equal(before.Limits.Source, after.Limits.Source) {
		d.add(OtherDifference, "limits", "changed")
	}
	return d.sorted()
}

func (d *differences) account(before, after *routing.Account) {
	item, found := "account "+before.Name, len(*d)
	if n := missing(before.KeyDigests, after.KeyDigests); n > 0 {
		d.add(RemovedKeys, item, "%d of %d keys removed", n, len(before.KeyDigests))
	}
	if n := missing(after.KeyDigests, before.KeyDigests); n > 0 {
		d.add(OtherDifference, item, "%d keys added", n)
	}
	if unlimited(after.RequestsPerSecond) < unlimited(before.RequestsPerSecond) {
		d.add(LoweredRate, item, "rate lowered from %s to %g requests per second",
			limitText(before.RequestsPerSecond), after.RequestsPerSecond)
	}
	if after.Burst < before.Burst && before.RequestsPerSecond > 0 && after.RequestsPerSecond > 0 {
		d.add(LoweredRate, item, "burst lowered from %g to %g requests", before.Burst, after.Burst)
	}
	if len(*d) == found && !bytes.Equal(before.Source, after.Source) {
		d.add(OtherDifference, item, "other values changed")
	}
}

// missing returns how many of the digests are not in the others.
func missing(digests, others [][]byte) int {
	known := make(map[string]bool, len(others))
	for _, digest := range others {
		known[string(digest)] = true
	}
	n := 0
	for _, digest := range digests {
		if !known[string(digest)] {
			n++
		}
	}
	return n
}

// unlimited returns a limit, or infinity for 0, which means none.
func unlimited(limit float64) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return limit
}

func limitText(limit float64) string {
	if limit == 0 {
		return "no limit"
	}
	return strconv.FormatFloat(limit, 'g', -1, 64)
}

func (d *differences) route(before, after *routing.Route) {
	item, found := "route "+before.Name, len(*d)
	if before.Host != after.Host || before.PathPrefix != after.PathPrefix {
		d.add(ChangedRoute, item, "moved from %s%s to %s%s", before.Host, before.PathPrefix, after.Host, after.PathPrefix)
	}
	if before.Kind != after.Kind {
		d.add(ChangedRoute, item, "kind changed from %s to %s", kindNames[before.Kind], kindNames[after.Kind])
	}
	if before.Public && !after.Public {
		d.add(ChangedRoute, item, "no longer public: requests need a key")
	}
	old, new := shares(before), shares(after)
	for _, service := range slices.Sorted(maps.Keys(old)) {
		if new[service] < old[service]-roundingError {
			d.add(ChangedRoute, item, "share of service %s lowered from %.3g %% to %.3g %%", service, 100*old[service], 100*new[service])
		}
	}
	if unlimited(after.TimeoutMillis) < unlimited(before.TimeoutMillis) {
		d.add(LoweredTimeout, item, "timeout lowered from %s to %g ms", limitText(before.TimeoutMillis), after.TimeoutMillis)
	}
	if len(*d) == found && !bytes.Equal(before.Source, after.Source) {
		d.add(OtherDifference, item, "other values changed")
	}
}

// shares returns the share of each service in the requests of a route, 0 to 1.
func shares(r *routing.Route) map[string]float64 {
	total, out := 0.0, make(map[string]float64)
	for _, s := range r.WeightedServices() {
		total += s.Weight
	}
	for _, s := range r.WeightedServices() {
		if total > 0 {
			out[s.Service] += s.Weight / total
		}
	}
	return out
}
