package experiment

import "github.com/bramleypick/bramleypick/dynconfig"

// zoneNames are the names of the availability zones in every experiment.
var zoneNames = []string{"milano-nord", "bergamo", "brescia"}

func zonesOf(names []string) []dynconfig.Zone {
	zones := make([]dynconfig.Zone, len(names))
	for i, name := range names {
		zones[i].Name = name
	}
	return zones
}

func sum(numbers []int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}
