package routingstate

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/routing"
)

// WithoutSources returns the view without the operators' original texts, which are needed only to return the configuration
// to operators.
func (v *View) WithoutSources() *View {
	if v.Config == nil {
		return v
	}
	stripped := *v
	stripped.Config = stripConfig(v.Config)
	return &stripped
}

// StripSources returns an encoded command without the operators' original texts. Applying it to a view without sources has
// the same effect as applying the full command to the full view and then removing the sources.
func StripSources(data []byte) ([]byte, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	if c.Put != nil {
		c.Put = stripConfig(c.Put)
	}
	if c.Patch != nil {
		p := *c.Patch
		p.UpsertRoutes, p.UpsertServices = stripRoutes(p.UpsertRoutes), stripServices(p.UpsertServices)
		p.UpsertAccounts = stripAccounts(p.UpsertAccounts)
		c.Patch = &p
	}
	return c.Encode()
}

func stripConfig(c *routing.Config) *routing.Config {
	stripped := *c
	stripped.Routes, stripped.Services = stripRoutes(c.Routes), stripServices(c.Services)
	stripped.Accounts = stripAccounts(c.Accounts)
	stripped.Limits.Source = nil
	return &stripped
}

func stripRoutes(routes []routing.Route) []routing.Route {
	stripped := slices.Clone(routes)
	for i := range stripped {
		stripped[i].Source = nil
	}
	return stripped
}

func stripServices(services []routing.Service) []routing.Service {
	stripped := slices.Clone(services)
	for i := range stripped {
		stripped[i].Source = nil
	}
	return stripped
}

func stripAccounts(accounts []routing.Account) []routing.Account {
	stripped := slices.Clone(accounts)
	for i := range stripped {
		stripped[i].Source = nil
	}
	return stripped
}
