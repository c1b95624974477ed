package overload

import (
	"math"
	"time"
)

const (
	// saturatedShare is the share of the admitted work without room from which the placed work shows the capacity. Below it, more
	// work is admitted. It is a compromise: with 0.1, all upstreams are in use but requests of the highest priority find no room more
	// often; with 0.02, upstreams have free slots while requests are shed.
	saturatedShare = 0.04
	// saturatedDeviations replaces it for a service with few requests, divided by the root of their number in the last intervals. Its
	// few upstreams are all busy at times although they can run the requests. With 0.6, 2 % fewer requests were served in
	// a simulation of 60 requests per second.
	saturatedDeviations = 1.0
	// beginShare is the share of the work without room from which shedding begins. Up to about that share, most requests find room
	// when they are tried again, and a limit would cost more requests than it saves.
	beginShare = 0.2
	// joinShare is the share of the demand that others shed from which a gateway that has just started does the same.
	joinShare = 0.02
	// minRefused is the number of requests without room, over all gateways, that are needed to begin shedding. A single one
	// says little: a gateway may just have met busy upstreams only.
	minRefused = 3
	// capacityGain is the weight of a new measurement of the capacity.
	capacityGain = 0.25
	// marginShare is the part of the saturation that is admitted beyond the capacity. Requests arrive and upstreams slow down
	// irregularly, so that with none there would be free slots at times.
	marginShare = 1.0
	// While admitted requests find room, more than the placed work is tried: by minStep, and by headroomStep for the part of it beyond
	// usualHeadroom that found upstreams with several free slots. In a simulation, that part was 0.1 at full load, 0.3 at 0.7
	// and 0.6 at 0.5 of the capacity. The step is relative to the placed work, which shows what was admitted up to 0.75 s ago, so
	// that the capacity does not grow on before the effect of a step is known.
	minStep       = 0.2
	headroomStep  = 1.2
	usualHeadroom = 0.15
	// calmFor is the time without shed or refused requests after which the level is given up and reports end.
	calmFor = 2 * time.Second
)

// capacity estimates the work that the upstreams can run in time, per gateway and interval. Zero means that no limit is known,
// because all requests have found room.
type capacity float64

// update returns the estimate after one interval. typical is the work of a request. limited states whether less than the demand was
// admitted.
func (c capacity) update(w *window, typical float64, limited bool) capacity {
	if w.reporters == 0 || typical == 0 {
		return c
	}
	placed := capacity(w.placed / w.reporters)
	r, saturated := w.refusedShare(), saturation(w, typical)
	switch {
	case c == 0 && (r >= max(beginShare, 2*saturated) && w.refused >= minRefused*typical || ratio(w.shed, w.total) >= joinShare):
		return placed
	case c == 0:
		return 0
	case r >= saturated:
		return c + capacityGain*capacity(min(1, r/saturated-1))*(placed-c)
	case limited:
		step := minStep + headroomStep*max(0, w.headroomShare()-usualHeadroom)
		return max(c, placed*capacity(1+step*(1-r/saturated)))
	}
	return max(c, placed)
}

// saturation returns the share without room from which the placed work shows the capacity.
func saturation(w *window, typical float64) float64 {
	requests := (w.placed + w.refused) / typical
	return max(saturatedShare, saturatedDeviations/math.Sqrt(max(1, requests)))
}

// admitted returns the work to admit per gateway and interval.
func (c capacity) admitted(w *window, typical float64) float64 {
	return float64(c) * (1 + marginShare*saturation(w, typical))
}
