package rollout

// Outcomes counts the attempts that were sent to the upstreams of one version, for one route. All counts are totals since the
// order.
type Outcomes struct {
	Sent uint64 `cbor:"1,keyasint,omitempty"`
	// Failed counts server errors, invalid responses and lost connections, and Refused responses that say that the request did not
	// run.
	Failed  uint64 `cbor:"2,keyasint,omitempty"`
	Refused uint64 `cbor:"3,keyasint,omitempty"`
	// All holds the durations of all attempts, and Normal those of attempts that were sent to an upstream which reported normal speed
	// just before. An upstream of either version that is slow for a moment does not show in Normal.
	All    Durations `cbor:"4,keyasint"`
	Normal Durations `cbor:"5,keyasint"`
	// FailedUpstreams has a bit for each upstream that failed, selected by a hash of its id.
	FailedUpstreams uint64 `cbor:"6,keyasint,omitempty"`
}

func (o *Outcomes) succeeded() uint64 {
	n := uint64(0)
	for _, within := range o.All.Within {
		n += within
	}
	return n
}

// sub returns the counts that were added since an earlier state. Counts do not decrease; a report that contradicts this is
// treated as if nothing had been added.
func (o *Outcomes) sub(earlier *Outcomes) Outcomes {
	return Outcomes{
		Sent: less(o.Sent, earlier.Sent), Failed: less(o.Failed, earlier.Failed), Refused: less(o.Refused, earlier.Refused),
		All: o.All.sub(&earlier.All), Normal: o.Normal.sub(&earlier.Normal), FailedUpstreams: o.FailedUpstreams,
	}
}

func (o *Outcomes) add(more *Outcomes) {
	o.Sent, o.Failed, o.Refused = o.Sent+more.Sent, o.Failed+more.Failed, o.Refused+more.Refused
	o.All.add(&more.All)
	o.Normal.add(&more.Normal)
	o.FailedUpstreams |= more.FailedUpstreams
}

func less(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
