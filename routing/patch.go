package routing

// Patch adds, replaces and removes named items of a configuration.
type Patch struct {
	Version        uint64    `cbor:"1,keyasint"`
	BaseVersion    uint64    `cbor:"2,keyasint,omitempty"`
	UpsertRoutes   []Route   `cbor:"3,keyasint,omitempty"`
	UpsertServices []Service `cbor:"4,keyasint,omitempty"`
	RemoveRoutes   []string  `cbor:"5,keyasint,omitempty"`
	RemoveServices []string  `cbor:"6,keyasint,omitempty"`
	// Limits replaces the limits; nil keeps them.
	Limits *Limits `cbor:"7,keyasint,omitempty"`
	// UpsertAccounts and RemoveAccounts change the accounts.
	UpsertAccounts []Account `cbor:"8,keyasint,omitempty"`
	RemoveAccounts []string  `cbor:"9,keyasint,omitempty"`
}

// Apply returns the patched configuration. It does not modify c.
func (p *Patch) Apply(c *Config) *Config {
	next := &Config{Version: p.Version, BaseVersion: p.BaseVersion, Limits: c.Limits}
	next.Routes = mergeByName(c.Routes, p.UpsertRoutes, p.RemoveRoutes, func(r *Route) string { return r.Name })
	next.Services = mergeByName(c.Services, p.UpsertServices, p.RemoveServices, func(s *Service) string { return s.Name })
	next.Accounts = mergeByName(c.Accounts, p.UpsertAccounts, p.RemoveAccounts, func(a *Account) string { return a.Name })
	next.RequireKey = c.RequireKey || len(p.UpsertAccounts) > 0
	if p.Limits != nil {
		next.Limits = *p.Limits
	}
	return next
}

// mergeByName removes the items named in remove, replaces items by those of the same name in upsert, and appends the other
// items of upsert. If a name is in both, the item is replaced.
func mergeByName[T any](items, upsert []T, remove []string, name func(*T) string) []T {
	removed := make(map[string]bool, len(remove))
	for _, n := range remove {
		removed[n] = true
	}
	replacement := make(map[string]*T, len(upsert))
	for i := range upsert {
		replacement[name(&upsert[i])] = &upsert[i]
	}
	merged := make([]T, 0, len(items)+len(upsert))
	for i := range items {
		n := name(&items[i])
		if r := replacement[n]; r != nil {
			merged = append(merged, *r)
			delete(replacement, n)
		} else if !removed[n] {
			merged = append(merged, items[i])
		}
	}
	for i := range upsert {
		n := name(&upsert[i])
		if replacement[n] == &upsert[i] {
			merged = append(merged, upsert[i])
		}
	}
	return merged
}
