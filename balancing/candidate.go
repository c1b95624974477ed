package balancing

import "time"

// Candidate is an upstream that may get a request now.
type Candidate struct {
	ID, Address, Zone string
	// Incarnation distinguishes successive processes that register with the same id.
	Incarnation int64
	// Version is that of the Upstream.
	Version uint8
	// Estimate is the expected response time.
	Estimate time.Duration
	// Load is the load that Estimate is based on, and Age is the age of that load, or one hour if there is none yet.
	Load Load
	Age  time.Duration
	// Suspect reports whether requests to the upstream failed recently, at this gateway or at others.
	Suspect bool
	Cold    bool
	// HasFreeSlot reports whether the upstream has a free slot according to the last known load.
	HasFreeSlot bool
	// HasHeadroom reports whether the upstream is idle or stays well below its slots with one more request, so that it
	// can also take requests that other gateways send at the same time.
	HasHeadroom bool
	// NearMeanServiceTime reports whether the estimate without the measured round trip is at most nearMeanFactor times
	// the mean service time.
	NearMeanServiceTime bool
	// NormalSpeed reports whether a current load shows that the upstream runs requests at normal speed.
	NormalSpeed bool
	// Slow reports whether the last load, if recent, showed that the upstream runs requests slowly.
	Slow bool
	// Verified reports whether a recent probe confirmed that the upstream is not cold, or whether this gateway may send
	// to it while it is cold. It is always set without Config.VerifyWarm. An upstream that is not verified must be
	// probed first.
	Verified bool
}

// Fresh reports whether the load is recent enough to send a request without a probe.
func (c Candidate) Fresh() bool { return c.Age <= FreshFor }
