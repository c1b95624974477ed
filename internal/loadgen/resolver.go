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
	resolveBackoff  = 200 * time.Millisecond // delay of the next refresh after all entry VMs failed
	maxAddressBytes = 1 << 20
)

// addressResponse is the response of GET /.bramleypick/v1/addresses/{service}.
type addressResponse struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
	TTLMillis int      `json:"ttl_ms"`
}

// resolver caches the addresses of one service. It queries one entry VM and moves on to the next one after a failure.
type resolver struct {
	service string
	entries []string
	fetch   func(ctx context.Context, entry, service string) (addressResponse, error)

	mu        sync.Mutex // held during a refresh: requests wait for it, and the wait counts toward their latency
	entry     int        // index of the entry VM to query, modulo their number
	addresses []string
	expires   time.Time
	failures  int // failed queries
	stale     int // failed refreshes after which expired addresses were used
}

// lookup returns the addresses of the service. It refreshes them first if they have expired, and returns the expired ones
// only if no entry VM responds with addresses.
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
		requested := time.Now() // the time to live starts here, because the response may be delayed
		var response addressResponse
		attempt, cancel := context.WithTimeout(ctx, resolveTimeout)
		response, err = r.fetch(attempt, r.entries[r.entry%len(r.entries)], r.service)
		cancel()
		if err == nil && len(response.Addresses) == 0 {
			err = errors.Errorf("entry VM %s returned no address for service %s", r.entries[r.entry%len(r.entries)], r.service)
		}
		if err == nil {
			r.addresses = response.Addresses
			r.expires = requested.Add(time.Duration(response.TTLMillis) * time.Millisecond)
			return nil
		}
		r.failures++
		r.entry++
	}
	return err
}

// fetchAddresses returns a function that queries one entry VM for the addresses of a service.
func fetchAddresses(client *http.Client) func(context.Context, string, string) (addressResponse, error) {
	return func(ctx context.Context, entry, service string) (addressResponse, error) {
		var response addressResponse
		url := "http://" + entry + "/.bramleypick/v1/addresses/" + service
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return response, errors.Wrap(err, "create address request")
		}
		resp, err := client.Do(r)
		if err != nil {
			return response, errors.Wrap(err, "request addresses")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return response, errors.Errorf("request addresses: %s responded with status %s, want 200", entry, resp.Status)
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&response)
		return response, errors.Wrapf(err, "decode addresses from %s", entry)
	}
}
