package dynconfig

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Canonical returns the canonical JSON of a configuration. The bytes do not depend on the order in which zones,
// services, classes, client accounts and stops are listed. It returns an error for a number that JSON cannot express
// (NaN or an infinity).
func Canonical(c Config) ([]byte, error) {
	c = canonicalOrder(c)
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode the configuration")
}

// Digest returns the SHA-256 digest of a canonical encoding in hexadecimal.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// Parse decodes and validates a configuration. The error is a Faults.
func Parse(data []byte) (Config, error) {
	c, err := Decode(data)
	if err != nil {
		return Config{}, err
	}
	if faults := c.Validate(); len(faults) > 0 {
		return Config{}, faults
	}
	return c, nil
}

// canonicalOrder returns a copy of c with sorted lists. The order of the lists has no meaning: a class is selected by
// its longest prefix, and the other lists are sets.
func canonicalOrder(c Config) Config {
	c.Zones = sortedByName(c.Zones, func(z Zone) string { return z.Name })
	c.ClientAccounts = sortedByName(c.ClientAccounts, func(a ClientAccount) string { return a.Name })
	c.Services = sortedByName(c.Services, func(s Service) string { return s.Name })
	for i := range c.Services {
		c.Services[i].Classes = sortedByName(c.Services[i].Classes, func(k Class) string { return k.Name })
	}
	c.Stops = slices.Clone(c.Stops)
	slices.SortStableFunc(c.Stops, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Upstream, b.Upstream))
	})
	return c
}

// sortedByName returns a copy of list sorted by name. It is never nil, because nil would be encoded as null.
func sortedByName[T any](list []T, name func(T) string) []T {
	out := append(make([]T, 0, len(list)), list...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
