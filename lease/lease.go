// Package lease implements session leases between many holders and one grantor at a time.
//
// When Table.Expired returns a session, its Holder is no longer valid. This holds if the rate error of each process's clock is
// at most MaxClockRateErrorPercent, if the grantor confirms before every grant that it is still the only one, and if a new
// grantor calls Table.Reset before its first grant. Only durations on monotonic clocks are compared, never the times of
// different VMs.
package lease

import "time"

// MaxClockRateErrorPercent is the largest clock rate error for which the guarantee holds, in percent. The errors of crystal
// oscillators and of clock slewing together stay below 0.1 %.
const MaxClockRateErrorPercent = 1

func subtractClockError(d time.Duration) time.Duration {
	return d - d*MaxClockRateErrorPercent/100
}

func addClockError(d time.Duration) time.Duration {
	return d + d*MaxClockRateErrorPercent/100
}
