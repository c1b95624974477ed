package registry

// FirstVersions returns the version of the services of which none is recorded: that of most of the upstreams that are ready, and
// the first in the order of the names if there are several.
func FirstVersions(entries []Entry, recorded map[string]string) map[string]string {
	counts := make(map[string]map[string]int)
	for i := range entries {
		e := &entries[i]
		if _, known := recorded[e.Service]; known || e.State != Ready {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Version]++
	}
	first := make(map[string]string, len(counts))
	for service, versions := range counts {
		most := 0
		for version, n := range versions {
			if n > most || n == most && version < first[service] {
				first[service], most = version, n
			}
		}
	}
	return first
}
