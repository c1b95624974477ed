package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	resolveTimeout  = 500 * time.Millisecond // for each entry VM
	resolveBackoff  = 200 * time.Millisecond // after all entry VMs failed
	maxAddressBytes = 1 << 20
)

// addressResponse is the response of GET /.bramleypick/v1/addresses/{service}.
type addressResponse struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
	TTLMillis int      `json:"ttl_ms"`
}

// resolver knows the addresses of one service. It asks one entry VM, and the next one after a failure.
type resolver struct {
	service string
	entries []string
	fetch   func(ctx context.Context, entry, service string) (addressResponse, error)

	mu        sync.Mutex // held during a refresh: requests wait for it, which their latency shows
	entry     int
	addresses []string
	expires   time.Time
	failures  int // responses of entry VMs that could not be used
	stale     int // failed refreshes after which old addresses were used
}

// lookup returns the addresses. Past their time to live it asks again first; the old ones are used only if no entry VM
// answers.
func (r *resolver) lookup(ctx context.Context) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.expires) {
		return r.addresses, nil
	}
	err := r.refresh(ctx)
	if err == nil {
		return r.addresses, nil
	}
	if len(r.addresses) > 0 {
		r.stale++
		r.expires = time.Now().Add(resolveBackoff)
		return r.addresses, nil
	}
	return nil, err
}

func (r *resolver) refresh(ctx context.Context) (err error) {
	for range r.entries {
		asked := time.Now() // the time to live counts from here, because the response may be delayed
		var response addressResponse
		attempt, cancel := context.WithTimeout(ctx, resolveTimeout)
		response, err = r.fetch(attempt, r.entries[r.entry%len(r.entries)], r.service)
		cancel()
		if err == nil && len(response.Addresses) == 0 {
			err = errors.Errorf("no address of service %s", r.service)
		}
		if err == nil {
			r.addresses = response.Addresses
			r.expires = asked.Add(time.Duration(response.TTLMillis) * time.Millisecond)
			return nil
		}
		r.failures++
		r.entry++
	}
	return err
}

// fetchAddresses asks one entry VM.
func fetchAddresses(client *http.Client) func(context.Context, string, string) (addressResponse, error) {
	return func(ctx context.Context, entry, service string) (addressResponse, error) {
		var response addressResponse
		url := "http://" + entry + "/.bramleypick/v1/addresses/" + service
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return response, errors.Wrap(err, "ask for addresses")
		}
		resp, err := client.Do(r)
		if err != nil {
			return response, errors.Wrap(err, "ask for addresses")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return response, errors.Errorf("%s answered %s", entry, resp.Status)
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&response)
		return response, errors.Wrap(err, "decode addresses")
	}
}
