package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/placement"
	"github.com/bramleypick/bramleypick/registry"
)

// newCrashingUpstream returns an upstream that crashes when it begins to run a request below /idempotent/crash: it closes
// the connection without a response and refuses further ones.
func newCrashingUpstream(t *testing.T, id string) *fakeUpstream {
	var u *fakeUpstream
	u = newUpstream(t, id, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/idempotent/crash") {
			u.server.Listener.Close()
			go u.server.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		succeed(w, r)
	})
	return u
}

// crashingDeployment returns two gateways with the same upstreams, and a function that passes their reports to each other.
func crashingDeployment(t *testing.T, upstreams int) (gateways []*Gateway, all []*fakeUpstream, share func()) {
	var entries []registry.Entry
	for i := range upstreams {
		u := newCrashingUpstream(t, fmt.Sprint("u", i))
		all, entries = append(all, u), append(entries, u.entry())
	}
	for i := range 2 {
		state := clusterState(entries...)
		state.Gateways = []placement.Member{{Name: "g0", Zone: "z"}, {Name: "g1", Zone: "z"}}
		state.Self = fmt.Sprint("g", i)
		gateways = append(gateways, newGateway(t, state))
	}
	share = func() {
		for i, g := range gateways {
			if reports := g.TakeFailures(); len(reports) > 0 {
				gateways[1-i].RecordReportedFailures(reports, time.Now())
			}
		}
	}
	return gateways, all, share
}

// Guards against a request that crashes one upstream after the other, because its client sends it again to any gateway.
func TestRequestThatCrashesUpstreamsIsBlocked(t *testing.T) {
	is := is.New(t)
	gateways, upstreams, share := crashingDeployment(t, 12)
	crashed := func() int {
		n := 0
		for _, u := range upstreams {
			n += u.requestCount()
		}
		return n
	}
	for i := range 10 {
		send(t, gateways[i%2], "/idempotent/crash", nil)
		time.Sleep(3 * confirmDelay) // the probe confirms the loss
		share()
	}
	// At most two upstreams run the attempts of the request that reaches lossesToBlock.
	is.True(crashed() >= lossesToBlock)
	is.True(crashed() <= lossesToBlock+1)
	for _, g := range gateways {
		w := send(t, g, "/idempotent/crash", nil)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(strings.Contains(w.Body.String(), `"fingerprint_blocked"`))
		is.Equal(send(t, g, "/idempotent/other", nil).Code, http.StatusOK)
	}
}

// Guards against blocking a frequent request because upstreams were lost while they ran it, for another reason.
func TestSuccessfulRequestIsNotBlocked(t *testing.T) {
	is := is.New(t)
	gateways, _, share := crashingDeployment(t, 2)
	now := time.Now()
	is.Equal(send(t, gateways[0], "/idempotent/1", nil).Code, http.StatusOK)
	var fingerprint string
	for f := range gateways[0].crashes.records.succeeded {
		fingerprint = f
	}
	for range 5 {
		is.True(!gateways[0].crashes.records.recordLosses(fingerprint, 1, now))
	}
	gateways[1].crashes.records.recordLosses(fingerprint, lossesToBlock, now) // it has had no success of its own
	gateways[1].crashes.reports.add(crashedKey+fingerprint, lossesToBlock)
	is.True(gateways[1].crashes.records.blocked(fingerprint, now))
	share() // gateway 1 tells gateway 0
	share() // gateway 0 tells gateway 1 of its success
	is.True(!gateways[1].crashes.records.blocked(fingerprint, now))
	is.Equal(send(t, gateways[1], "/idempotent/1", nil).Code, http.StatusOK)
}

// Guards against records that are kept for ever or grow without bound.
func TestCrashRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := newCrashRecords()
	for i := range 3 * maxCrashRecords {
		c.recordLosses(fmt.Sprint("loss", i), lossesToBlock, now.Add(time.Duration(i)*time.Millisecond))
	}
	is.Equal(len(c.byFingerprint), maxCrashRecords)
	last := fmt.Sprint("loss", 3*maxCrashRecords-1)
	is.True(c.blocked(last, now))
	is.True(!c.blocked(last, now.Add(crashMemory+time.Minute)))
	for i := range 3 * maxSuccesses {
		c.recordSuccess(fmt.Sprint("ok", i), now)
	}
	is.Equal(len(c.succeeded), maxSuccesses)
	is.True(!c.recordLosses("ok1", 1, now.Add(successMemory)))
	is.True(c.recordLosses("ok1", 1, now.Add(3*successMemory)))
}

// Guards against a request that crashes upstreams again after a rolling restart: a gateway that starts must know what the others
// know, and must not count losses twice that several of them report.
func TestLateGatewayKnowsCrashes(t *testing.T) {
	is := is.New(t)
	gateways, upstreams, share := crashingDeployment(t, 12)
	for i := range 4 {
		send(t, gateways[i%2], "/idempotent/crash", nil)
		time.Sleep(3 * confirmDelay) // the probe confirms the loss
		share()
	}
	before := 0
	for _, u := range upstreams {
		before += u.requestCount()
	}
	is.True(before >= lossesToBlock)
	now := time.Now()
	for _, losses := range []int{lossesToBlock - 1, lossesToBlock} {
		late := newGateway(t, clusterState(upstreams[0].entry(), upstreams[1].entry(), upstreams[2].entry()))
		for _, g := range gateways { // each replica sends its records
			records := g.CrashRecords()
			is.Equal(len(records), 1)
			for fingerprint, r := range records {
				is.True(r.Losses >= lossesToBlock)
				r.Losses = losses
				records[fingerprint] = r
			}
			late.MergeCrashRecords(records)
		}
		for fingerprint := range late.CrashRecords() {
			is.Equal(late.crashes.records.blocked(fingerprint, now), losses >= lossesToBlock)
			is.True(!late.crashes.records.blocked(fingerprint, now.Add(crashMemory)))
		}
		if losses >= lossesToBlock {
			is.Equal(send(t, late, "/idempotent/crash", nil).Code, http.StatusServiceUnavailable)
		}
	}
	after := 0
	for _, u := range upstreams {
		after += u.requestCount()
	}
	is.Equal(after, before)
}
