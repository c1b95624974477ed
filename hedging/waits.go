package hedging

// minSlowUpstreams is the number of upstreams of a zone at which requests wait at the same time from which the zone is the likely
// reason. Fewer coincide by chance, since single upstreams are slow for half a second at a time.
const minSlowUpstreams = 3

// BeginWait records that a request has waited longer than its delay at an upstream. EndWait must follow.
func (p *Policy) BeginWait(zone, upstream string) {
	if p.waits[zone] == nil {
		p.waits[zone] = make(map[string]int)
	}
	p.waits[zone][upstream]++
}

// EndWait records that the request has a result.
func (p *Policy) EndWait(zone, upstream string) {
	waits := p.waits[zone]
	if waits[upstream]--; waits[upstream] <= 0 {
		delete(waits, upstream)
	}
	if len(waits) == 0 {
		delete(p.waits, zone)
	}
}

// SlowZone reports whether requests wait at so many upstreams of the zone that the zone itself is the likely reason.
func (p *Policy) SlowZone(zone string) bool { return len(p.waits[zone]) >= minSlowUpstreams }
