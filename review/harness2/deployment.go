package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	replicas  = 3 // processes with a disk
	processes = 6
	program   = "target/bramleypick" // as in deploy/system.toml

	metricsPort  = 9180
	peerPorts    = 16
	startTimeout = 30 * time.Second
)

var zones = []string{"jackson", "mobile", "shreveport"}

// node is one process of the system with its addresses.
type node struct {
	name, ip, zone, dataDir, settings, log string
	cmd                                    *exec.Cmd
	done                                   chan struct{}
}

// deployment is a small deployment: three processes with a disk and three without, one of each in each zone.
type deployment struct {
	record *record
	dir    string
	prefix string // of the loopback addresses
	// ports are the same on all machines.
	front, ready, control, directory, peer int
	nodes                                  []*node
	config                                 config
	servers                                []*server
	// respond is that of half of the servers that are added; see server.
	respond func(conn net.Conn, r *http.Request, s *server) bool
}

func startDeployment(r *record) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir}
	if err := d.choosePorts(); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	for i := range processes {
		n := &node{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", d.prefix, 11+i), zone: zones[i%len(zones)]}
		n.settings, n.log = filepath.Join(dir, n.name+".toml"), filepath.Join(dir, n.name+".log")
		if i < replicas {
			n.dataDir = filepath.Join(dir, n.name)
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := errors.Join(d.writeSettings(n, true), d.start(n)); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// choosePorts chooses addresses and ports that are free on all machines.
func (d *deployment) choosePorts() error {
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		d.front, d.ready, d.control, d.directory, d.peer = base, base+1, base+2, base+3, base+4
		if d.portsAreFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) portsAreFree() bool {
	ports := []int{metricsPort}
	for p := d.front; p < d.peer+peerPorts; p++ {
		ports = append(ports, p)
	}
	for i := range processes {
		for _, p := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.prefix, 11+i, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

const settingsTemplate = `node = %q
role = "entry"
machine-class = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = "deep-south"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = %v
counts-toward-loss = %v
%sdiscovery = "registration"
entry = "directory"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","places"]
bounds = ["seed-lag-s=3","reuse-after-s=2","contact-ms=3000","ack-ms=4000","catch-up-s=4","drain-ms=2000","grace-s=6","loss-slack-ms=200","config-apply-ms=2000","rollback-slack-ms=250","max-skew-ms=5000","retry-budget-ratio=0.2","retry-window-s=10","retry-budget-slack=70","warmup-factor=1.5","warmup-slack=5","evacuation-delay-ms=5000","recovery-s=15","ttl_max_s=5","probes-per-s=60"]

[zones]
jackson = "deep-south"
mobile = "deep-south"
shreveport = "deep-south"

[listen]
front = "%[10]s:%[11]d"
ready = "%[10]s:%[12]d"
control = "%[10]s:%[13]d"
directory = "%[10]s:%[14]d"

[limits]
cpu-share = 0.56
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
%[15]s
[fault-tolerance]
machines = 1
zones = 1
regions = 0
`

func (d *deployment) writeSettings(n *node, bootstrap bool) error {
	seeds := make([]string, replicas)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", d.prefix, 11+i, d.control))
	}
	dataDir, disk := "", ""
	if n.dataDir != "" {
		dataDir, disk = fmt.Sprintf("data-dir = %q\n", n.dataDir), "disk-mb = 64\n"
	}
	text := fmt.Sprintf(settingsTemplate, n.name, n.ip, n.zone, d.peer, d.peer+peerPorts-1, strings.Join(seeds, ","), bootstrap,
		n.dataDir != "", dataDir, n.ip, d.front, d.ready, d.control, d.directory, disk)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(n *node) error {
	if n.dataDir != "" {
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	out, in, err := os.Pipe()
	if err != nil {
		log.Close()
		return err
	}
	defer in.Close() // the process has its own descriptor
	go collectLog(out, log)
	n.cmd = exec.Command(program, "entry")
	n.cmd.Env = []string{"BRAMLEYPICK_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	n.cmd.Stdout, n.cmd.Stderr = in, in
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		d.record.printf("process %s (pid %d) ended: %v", n.name, cmd.Process.Pid, err)
		close(done)
	}(n.cmd, n.done)
	d.record.printf("process %s (pid %d) started at %s", n.name, n.cmd.Process.Pid, n.ip)
	return nil
}

// stop kills all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, s := range d.servers {
		s.stop()
	}
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil && n.done != nil {
			_ = n.cmd.Process.Kill() // an error means that it has ended
			<-n.done
		}
	}
	os.RemoveAll(d.dir)
}

func (d *deployment) frontOf(n *node) string { return fmt.Sprintf("%s:%d", n.ip, d.front) }

func (d *deployment) controlOf(n *node) string { return fmt.Sprintf("%s:%d", n.ip, d.control) }

var apiClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// call sends one call of an operator or upstream and returns its status and body.
func (d *deployment) call(n *node, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+d.controlOf(n)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := apiClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// put sends a configuration as an operator does, unchanged, to one process after the other, until it has a final response.
func (d *deployment) put(c config) error {
	body := c.encode()
	deadline := time.Now().Add(startTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		n := d.nodes[i%len(d.nodes)]
		status, data, err := d.call(n, http.MethodPost, "/Config.Put", body)
		d.record.printf("operator sends version %d to %s: %d %v", c.Version, n.name, status, err)
		switch {
		case err == nil && status == http.StatusOK:
			d.config = c
			return nil
		case err == nil && status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
			return fmt.Errorf("version %d was refused: %d %s", c.Version, status, data)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("no acknowledgement of the configuration")
}

// awaitReady waits until all processes are ready and their upstreams have announced themselves.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range d.nodes {
		for {
			resp, err := apiClient.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, d.ready))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // two announcements
	return nil
}
