package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

const maxAdminBodyBytes = 64 << 10

// Report is the state of one upstream.
type Report struct {
	ID           string         `json:"id"`
	Service      string         `json:"service"`
	Address      string         `json:"address"`
	BootID       string         `json:"boot_id"`
	Up           bool           `json:"up"`
	Inflight     int            `json:"inflight"`
	Cold         bool           `json:"cold"`
	Work         workCounts     `json:"work"`
	Announcement announceCounts `json:"announcement"`
	Behaviour    Behaviour      `json:"behaviour"`
}

// ProcessReport is the response of GET /report.
type ProcessReport struct {
	Upstreams []Report `json:"upstreams"`
	// Duplicated holds the request ids and idempotency keys that were executed more than once.
	Duplicated Executions `json:"doubled"`
}

// Report returns the state of the upstream. If reset is set, it then resets the counters.
func (u *Upstream) Report(reset bool) Report {
	inflight, _, cold := u.simulator.load()
	u.mu.Lock()
	bootID, address, up := u.bootID, u.address, u.server != nil
	u.mu.Unlock()
	return Report{ID: u.cfg.ID, Service: u.cfg.Service, Address: address, BootID: bootID, Up: up, Inflight: inflight,
		Cold: cold, Work: u.simulator.snapshotCounts(reset), Announcement: u.announcer.snapshotCounts(), Behaviour: u.simulator.currentBehaviour()}
}

// Admin returns the handler of the admin port:
//
//	GET /report?reset=true                       all upstreams and the duplicated requests; reset then clears all counts
//	GET /executions?least=1                      execution counts of at least 1 by request id and by idempotency key
//	PATCH /upstreams/{id}/behaviour              JSON object of the Behaviour fields to set
//	POST /upstreams/{id}/cold?new_boot_id=true   see Upstream.BeginColdStart
//	POST /upstreams/{id}/freeze                  see Upstream.Freeze
//	POST /upstreams/{id}/crash                   see Upstream.Crash
//
// The id "all" selects every upstream of the process.
func Admin(upstreams []*Upstream, recorder *ExecutionRecorder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(rw http.ResponseWriter, r *http.Request) {
		reset := r.FormValue("reset") == "true"
		report := ProcessReport{Duplicated: recorder.Executions(2)}
		for _, u := range upstreams {
			report.Upstreams = append(report.Upstreams, u.Report(reset))
		}
		if reset {
			recorder.reset()
		}
		writeJSON(rw, report)
	})
	mux.HandleFunc("GET /executions", func(rw http.ResponseWriter, r *http.Request) {
		least, _ := strconv.Atoi(r.FormValue("least"))
		writeJSON(rw, recorder.Executions(least))
	})
	each := func(pattern string, f func(*Upstream, *http.Request, []byte) error) {
		mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
			forEach(rw, r, upstreams, f)
		})
	}
	each("PATCH /upstreams/{id}/behaviour", func(u *Upstream, _ *http.Request, body []byte) error {
		return u.SetBehaviour(body)
	})
	each("POST /upstreams/{id}/cold", func(u *Upstream, r *http.Request, _ []byte) error {
		u.BeginColdStart(r.FormValue("new_boot_id") == "true")
		return nil
	})
	each("POST /upstreams/{id}/freeze", func(u *Upstream, _ *http.Request, _ []byte) error {
		u.Freeze()
		return nil
	})
	each("POST /upstreams/{id}/crash", func(u *Upstream, _ *http.Request, _ []byte) error {
		u.Crash()
		return nil
	})
	return mux
}

// forEach calls f with each upstream that the id in the path selects and responds with status 204, or with an error status if
// f fails or no upstream is selected.
func forEach(rw http.ResponseWriter, r *http.Request, upstreams []*Upstream,
	f func(*Upstream, *http.Request, []byte) error) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxAdminBodyBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	found := false
	for _, u := range upstreams {
		if id := r.PathValue("id"); id != "all" && id != u.cfg.ID {
			continue
		}
		found = true
		if err := f(u, r, body); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if !found {
		http.Error(rw, "no such upstream", http.StatusNotFound)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(v)
}
