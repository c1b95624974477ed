// Package process_test proves with real processes what only processes can show: signals, kills, lost disks, and refused
// peers. The processes are those of cmd/bramleypick and cmd/standin.
package process_test

import (
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// cases are the deployments and checks of each test of this package. VMs 0 to 2 hold control replicas; every VM is a gateway.
var cases = []struct {
	test, description string
	vms               int
	check             func(*deployment)
}{
	{"TestInvariantGracefulStopProcesses", "SIGTERM to each VM in turn under load", 4, checkGracefulStop},
	{"TestInvariantAtMostOnceProcesses", "gateway killed, caller connected to it", 4, func(d *deployment) { checkKilledGateway(d, true) }},
	{"TestInvariantAtMostOnceProcesses", "gateway killed, caller connected to another", 4, func(d *deployment) { checkKilledGateway(d, false) }},
	{"TestInvariantZoneEvacuationProcesses", "gateway frozen while its zone is stopped", 5, checkFrozenGateway},
	{"TestInvariantConfigDurabilityProcesses", "leaders killed, a disk lost, another replica killed", 3, checkDurability},
	{"TestCrashingRequest", "one request crashes each upstream that runs it", 4, checkCrashingRequest},
	{"TestRefusals", "foreign peer, id of another upstream, wrong token", 3, checkRefusals},
}

// Guards against a graceful stop that cuts, loses or repeats a request.
func TestInvariantGracefulStopProcesses(t *testing.T) { runCases(t) }

// Guards against a second execution, or a false answer, after the gateway that ran a claimed request was killed.
func TestInvariantAtMostOnceProcesses(t *testing.T) { runCases(t) }

// Guards against work that a gateway with an old view starts in a stopped zone.
func TestInvariantZoneEvacuationProcesses(t *testing.T) { runCases(t) }

// Guards against accepted changes that are lost or reverted, and against a replica that founds a second group.
func TestInvariantConfigDurabilityProcesses(t *testing.T) { runCases(t) }

// Guards against a request that takes down every upstream of a service.
func TestCrashingRequest(t *testing.T) { runCases(t) }

// Guards against changes by peers, upstreams and operators that must not make them.
func TestRefusals(t *testing.T) { runCases(t) }

// programs are the binaries under test, which TestMain builds once.
var programs struct{ bramleypick, standin string }

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bramleypick-process")
	if err != nil {
		log.Fatal(err)
	}
	programs.bramleypick, programs.standin = filepath.Join(dir, "bramleypick"), filepath.Join(dir, "standin")
	status := 1
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/bramleypick", "../../cmd/standin").CombinedOutput()
	if err == nil {
		status = m.Run()
	} else {
		log.Printf("build: %v\n%s", err, out)
	}
	os.RemoveAll(dir)
	os.Exit(status)
}

func runCases(t *testing.T) {
	t.Parallel()
	for _, c := range cases {
		if c.test == t.Name() {
			t.Run(c.description, func(t *testing.T) {
				t.Parallel()
				c.check(deploy(t, c.vms, baseConfig()))
			})
		}
	}
}

// baseConfig has one service for each kind of request. A planned stop waits for the longest class timeout of the services in
// its zone after a gateway was lost, so the timeouts of short requests are short.
func baseConfig() dynconfig.Config {
	const addressTTLMillis, shortMillis, downloadMillis = 500, 5000, 30000
	service := func(name, method string, idempotent bool, timeoutMillis int) dynconfig.Service {
		return dynconfig.Service{
			Name: name, AddressTTLMillis: addressTTLMillis, RetryPercent: 100,
			Classes: []dynconfig.Class{{Name: "all", Method: method, PathPrefix: "/" + name, Idempotent: idempotent, TimeoutMillis: timeoutMillis}},
		}
	}
	c := dynconfig.Config{Services: []dynconfig.Service{
		service("intake", "POST", false, shortMillis), service("lookup", "GET", true, shortMillis),
		service("sheets", "GET", true, downloadMillis),
	}}
	for _, z := range zones {
		c.Zones = append(c.Zones, dynconfig.Zone{Name: z})
	}
	return c
}
