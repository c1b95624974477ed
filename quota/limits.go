package quota

import "github.com/bramleypick/bramleypick/routing"

// Limits returns the limits of the accounts of a configuration that have a rate, or nil if none has.
func Limits(c *routing.Config) map[string]Limit {
	if c == nil {
		return nil
	}
	var limits map[string]Limit
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if a.RequestsPerSecond <= 0 {
			continue
		}
		if limits == nil {
			limits = make(map[string]Limit)
		}
		limits[a.Name] = Limit{Rate: a.RequestsPerSecond, Burst: max(1, a.Burst)}
	}
	return limits
}
