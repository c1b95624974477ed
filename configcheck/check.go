package configcheck

import (
	"fmt"
	"strings"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/routing"
)

// minRequestsPerSecond is the rate below which a limit is probably a mistake: one request in 10 s.
const minRequestsPerSecond = 0.1

// Check returns the findings about a decoded configuration of entry VMs, errors first.
func Check(c *routing.Config) []Finding {
	var findings []Finding
	if err := c.Validate(); err != nil {
		item, message := "", err.Error()
		for _, kind := range []string{"route ", "account "} {
			if before, after, ok := strings.Cut(message, ": "); ok && strings.HasPrefix(before, kind) {
				item, message = before, after
			}
		}
		findings = append(findings, Finding{Severity: Error, Item: item, Message: message})
	}
	warn := func(item, format string, args ...any) {
		findings = append(findings, Finding{Severity: Warning, Item: item, Message: fmt.Sprintf(format, args...)})
	}
	first := make(map[[2]string]string, len(c.Routes)) // name of the first route by host and prefix
	for i := range c.Routes {
		r := &c.Routes[i]
		item := "route " + r.Name
		match := [2]string{r.Host, r.PathPrefix}
		if other, taken := first[match]; taken {
			warn(item, "never matches: route %s has the same host and path prefix and comes first", other)
		} else {
			first[match] = r.Name
		}
		if strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]") {
			warn(item, "never matches: the host %q has a port, which is ignored in requests", r.Host)
		}
		if r.Host != strings.ToLower(r.Host) {
			warn(item, "the host %q has upper-case letters: it matches only requests that write it in the same way", r.Host)
		}
		for _, s := range r.Split {
			if s.Weight == 0 {
				warn(item, "service %s has the weight 0 and gets no requests", s.Service)
			}
		}
		if r.TimeoutMillis > 0 && r.TimeoutMillis < r.TargetLatencyMillis {
			warn(item, "the timeout of %g ms is below the latency target of %g ms", r.TimeoutMillis, r.TargetLatencyMillis)
		}
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		item := "account " + a.Name
		if len(a.KeyDigests) == 0 {
			warn(item, "has no keys: no request can belong to it")
		}
		if a.RequestsPerSecond == 0 {
			continue // no limit
		}
		if a.RequestsPerSecond < minRequestsPerSecond {
			warn(item, "the rate of %g requests per second is below one request in 10 s", a.RequestsPerSecond)
		}
		if a.Burst < 1 {
			warn(item, "the burst of %g is below one request", a.Burst)
		}
	}
	return findings
}

// CheckDynamic returns the findings about a valid configuration of package dynconfig, whose format has no keys, rates, latency
// targets or weights of services.
func CheckDynamic(c *dynconfig.Config) []Finding {
	var findings []Finding
	for _, s := range c.Services {
		for _, class := range s.WithDefaults().Classes {
			if class.HedgeAfterMillis >= class.TimeoutMillis {
				findings = append(findings, Finding{
					Severity: Warning, Item: "class " + s.Name + "/" + class.Name,
					Message: fmt.Sprintf("hedges after %d ms never start: the timeout is %d ms", class.HedgeAfterMillis, class.TimeoutMillis),
				})
			}
		}
	}
	return findings
}
