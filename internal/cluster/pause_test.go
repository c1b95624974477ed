package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an order that is accepted right after a pause although its operator may have sent it before, and against refusing
// orders for longer than that.
func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	var p pauseDetector
	at := time.Unix(1_800_000_000, 0)
	is.True(!p.recentlyPaused(at)) // not started
	for range 10 {
		at = at.Add(maintenanceInterval)
		p.tick(at)
		is.True(!p.recentlyPaused(at.Add(maintenanceInterval)))
	}
	at = at.Add(time.Second)
	is.True(p.recentlyPaused(at)) // the loop has not run since
	p.tick(at)
	is.True(p.recentlyPaused(at.Add(staleOrderTime / 2)))
	for range 10 {
		at = at.Add(maintenanceInterval)
		p.tick(at)
	}
	is.True(!p.recentlyPaused(at))
}
