package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine of the system and its process.
type machine struct {
	env   *env
	index int
	name  string
	zone  string
	disk  bool
	site  *site

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	started   bool // at least once
}

// site holds the values of a site file that appear in the settings.
type site struct {
	region string
	zones  []string
	bounds []string
	memory int
}

var brambati = &site{
	region: "lombardia", zones: []string{"milano-nord", "bergamo", "brescia"}, memory: 284,
	bounds: []string{"seed-lag-s=3", "reuse-after-s=2", "contact-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000", "grace-s=6",
		"loss-slack-ms=200", "config-apply-ms=2000", "rollback-slack-ms=250", "max-skew-ms=5000", "retry-budget-ratio=0.2",
		"retry-window-s=10", "retry-budget-slack=68", "warmup-factor=1.5", "warmup-slack=5", "evacuation-delay-ms=5000", "recovery-s=15",
		"ttl_max_s=5", "probes-per-s=60"},
}

var crutchbackGrown = &site{
	region: "deep-south", zones: []string{"jackson", "mobile", "shreveport", "baton-rouge"}, memory: 184,
	bounds: []string{"seed-lag-s=3", "reuse-after-s=2", "contact-ms=3000", "ack-ms=4000", "catch-up-s=6", "drain-ms=2000", "grace-s=6",
		"loss-slack-ms=200", "config-apply-ms=2000", "rollback-slack-ms=250", "max-skew-ms=5000", "retry-budget-ratio=0.2",
		"retry-window-s=10", "retry-budget-slack=166", "warmup-factor=1.5", "warmup-slack=8", "evacuation-delay-ms=5000", "recovery-s=15",
		"ttl_max_s=5", "probes-per-s=60"},
}

// coreSize is the number of machines with a disk.
const coreSize = 3

// startMachines starts n machines, of which the first coreSize have a disk, and waits until each answers on its control
// address.
func (e *env) startMachines(s *site, n int) error {
	for i := 1; i <= n; i++ {
		zone := s.zones[(i-1)%len(s.zones)]
		m := &machine{env: e, index: i, name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, disk: i <= coreSize, site: s}
		e.mu.Lock()
		e.machines = append(e.machines, m)
		e.mu.Unlock()
	}
	for _, m := range e.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) ip() string { return fmt.Sprintf("%s.%d", m.env.net, m.index) }

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip(), port) }

func (m *machine) front() string { return m.address(m.env.ports.front) }

func (m *machine) control() string { return m.address(m.env.ports.control) }

func (m *machine) settings(first bool) string {
	p := m.env.ports
	var seeds []string
	for i := 1; i <= coreSize; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", m.env.net, i, p.control)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"entry\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\",\"directory\"]\n", m.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = %q\ninternal-ports = [%d,%d]\n", m.ip(), m.zone, m.site.region, p.peer, p.peer+15)
	fmt.Fprintf(&b, "seeds = [%s]\nbootstrap = %v\n", strings.Join(seeds, ","), first)
	if m.disk {
		fmt.Fprintf(&b, "counts-toward-loss = true\ndata-dir = %q\n", filepath.Join(m.env.dir, m.name))
	}
	b.WriteString("discovery = \"registration\"\nentry = \"directory\"\nheartbeat-ms = 1500\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"places\"]\n")
	quoted := make([]string, len(m.site.bounds))
	for i, bound := range m.site.bounds {
		quoted[i] = fmt.Sprintf("%q", bound)
	}
	fmt.Fprintf(&b, "bounds = [%s]\n[zones]\n", strings.Join(quoted, ","))
	for _, z := range m.site.zones {
		fmt.Fprintf(&b, "%s = %q\n", z, m.site.region)
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ncontrol = %q\ndirectory = %q\n", m.front(), m.address(p.ready), m.control(), m.address(p.directory))
	fmt.Fprintf(&b, "[limits]\ncpu-share = 0.56\ncores = 1\nmemory-mb = %d\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 64\n", m.site.memory)
	b.WriteString("[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	return b.String()
}

// start starts the process with the command of the deploy file. The working directory is the root of the repository.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(m.env.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings(!m.started)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.env.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/bramleypick", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.env.dir, "LANG=C", "BRAMLEYPICK_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.startedAt, m.started = cmd, exited, time.Now(), true
	m.env.record.line("%s starts, process %d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		m.env.record.line("%s ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.env.record.line("%s gets %v", m.name, s)
		_ = m.cmd.Process.Signal(s) // fails if the process has ended
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
}

func (m *machine) awaitExit() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (m *machine) stop(grace time.Duration) {
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		m.kill()
		<-exited
	}
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.address(m.env.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, limit)
}

func (e *env) awaitAllReady(limit time.Duration) error {
	for _, m := range e.machines {
		if err := m.awaitReady(limit); err != nil {
			return err
		}
	}
	return nil
}
