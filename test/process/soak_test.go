package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/internal/experiment"
	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

// Ports of the soak: 5 VMs need 3 each, 36 upstreams and their 36 proxies need 1 each, and 9 upstream processes need an admin
// port each. In total they need 96.
const firstSoakPort, lastSoakPort, portsPerSoak = 19000, 22599, 120

// soakSeeds are the seeds to run. A seed that has failed is added with the cause of its failure.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none: overlapping kills, freezes and proxy faults"},
	{33, "fault of the soak: it reported a violation when SIGTERM ended a process that had just been started and did not handle signals yet"},
	{1796392831746788828, "fault of the soak (with a load of 12 s): it reported the conflict of two changes on the same base version as a violation"},
}

// TestSoak guards against violated guarantees under overlapping faults. See experiment.Soak.
func TestSoak(t *testing.T) {
	for _, s := range soakSeeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			base, release, err := localdeploy.ReservePorts(firstSoakPort, lastSoakPort, portsPerSoak)
			is.NoErr(err)
			defer release()
			paths := experiment.Programs{Bramleypick: programs.bramleypick, Standin: programs.standin}
			run, err := experiment.Soak(t.Context(), paths, t.TempDir(), base, s.seed, 8*time.Second)
			is.NoErr(err)
			t.Logf("%d faults, %+v", len(run.Faults), run.Verdict)
			for _, violation := range run.Violations {
				t.Errorf("%s; faults: %q", violation, run.Faults)
			}
			is.True(run.Verdict.Answered > 0)
		})
	}
}
