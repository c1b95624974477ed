package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	announceInterval = time.Second
	// announceTimeout is less than the interval, so that an unresponsive entry VM delays only one announcement.
	announceTimeout = 900 * time.Millisecond
)

// Announcement is the body of PUT /.bramleypick/v1/upstreams/{id}.
type Announcement struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	Slots          int    `json:"slots"`
	BootID         string `json:"boot_id"`
	Inflight       int    `json:"inflight"`
	MaxConnections int    `json:"max_connections"`
}

// announcer announces an upstream every announceInterval to one entry VM. After a failure it switches to the next one.
type announcer struct {
	upstream *Upstream
	client   *http.Client

	mu        sync.Mutex
	cancel    context.CancelFunc
	nextEntry int // index of the entry VM for the next attempt, modulo their number
	counts    announceCounts
}

// announceCounts holds the counters of an announcer.
type announceCounts struct {
	Accepted  int    `json:"accepted"`
	Failed    int    `json:"failed"`
	LastError string `json:"last_error,omitempty"`
	Entry     string `json:"entry,omitempty"` // entry VM of the last accepted announcement
}

func newAnnouncer(u *Upstream) *announcer {
	dialer := &net.Dialer{}
	if host, _, err := net.SplitHostPort(u.cfg.Address); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)} // entry VMs require the announced IP as source address
	}
	return &announcer{upstream: u, client: &http.Client{
		Timeout:   announceTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1},
	}}
}

func (a *announcer) start() {
	if len(a.upstream.cfg.Entries) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	go a.loop(ctx)
}

func (a *announcer) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
	}
}

func (a *announcer) loop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	defer a.client.CloseIdleConnections()
	for {
		if !a.upstream.simulator.currentBehaviour().Drain {
			a.announceOnce(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceOnce announces the upstream to one entry VM. After a failure it tries the next one, and each at most once.
func (a *announcer) announceOnce(ctx context.Context) {
	entries := a.upstream.cfg.Entries
	for range entries {
		a.mu.Lock()
		entry := entries[a.nextEntry%len(entries)]
		a.mu.Unlock()
		err := a.put(ctx, entry)
		if ctx.Err() != nil {
			return
		}
		a.mu.Lock()
		if err == nil {
			a.counts.Accepted++
			a.counts.Entry = entry
		} else {
			a.counts.Failed++
			a.counts.LastError = err.Error()
			a.nextEntry++
		}
		a.mu.Unlock()
		if err == nil {
			return
		}
	}
}

// put sends one announcement to an entry VM.
func (a *announcer) put(ctx context.Context, entry string) error {
	cfg, health := a.upstream.cfg, a.upstream.health()
	address := a.upstream.Address()
	if cfg.AnnouncedAddress != "" {
		address = cfg.AnnouncedAddress
	}
	body, err := json.Marshal(Announcement{
		Service: cfg.Service, Address: address, Zone: cfg.Zone, Slots: cfg.Slots, BootID: health.BootID,
		Inflight: health.Inflight, MaxConnections: cfg.MaxConnections,
	})
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	url := "http://" + entry + "/.bramleypick/v1/upstreams/" + cfg.ID
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("announcement to %s: got status %s, want 2xx: %s", entry, resp.Status, text)
	}
	return nil
}

func (a *announcer) snapshotCounts() announceCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}
