package crashguard

import "time"

// Record is what a process knows of the upstreams that were lost while they ran requests with one fingerprint.
type Record struct {
	Losses int `cbor:"1,keyasint"`
	// Age is the time since the last loss.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}
