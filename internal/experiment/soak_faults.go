package experiment

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/bramleypick/bramleypick/internal/localdeploy"
)

// faultKind is a kind of fault that the soak injects.
type faultKind string

const (
	faultKill      faultKind = "kill"      // SIGKILL, then a restart after the duration
	faultFreeze    faultKind = "freeze"    // SIGSTOP, then SIGCONT after the duration
	faultTerminate faultKind = "terminate" // SIGTERM, then a restart once the process has ended
	faultProxies   faultKind = "proxies"   // a proxy mode at some upstreams for the duration
	faultChange    faultKind = "change"    // a configuration change
)

// faultKinds are the kinds that plan draws from. faultProxies occurs twice, so it is drawn twice as often as the others.
var faultKinds = []faultKind{faultKill, faultFreeze, faultTerminate, faultProxies, faultProxies, faultChange}

const (
	// soakFaultsPerSecond is the rate at which faults begin. With a mean duration of about 2 s, about two faults are
	// active at a time.
	soakFaultsPerSecond  = 1.0
	soakMinFaultDuration = 100 * time.Millisecond
	soakMaxFaultDuration = 4 * time.Second
	// soakSignalSetupTime is the time that a process may need to install its signal handlers on a busy machine.
	soakSignalSetupTime = 300 * time.Millisecond
	// exitCodeSignaled is the exit code reported for a process that was terminated by a signal.
	exitCodeSignaled = -1
)

// fault is one planned fault.
type fault struct {
	kind         faultKind
	at           time.Duration
	duration     time.Duration
	vm           int          // index, for faultKill, faultFreeze and faultTerminate
	mode         proxyMode    // for faultProxies
	proxies      map[int]bool // for faultProxies, by index
	changeNumber int          // for faultChange
}

// String describes the fault for a report.
func (f fault) String() string {
	at := fmt.Sprintf("%.2f s %s", f.at.Seconds(), f.kind)
	switch f.kind {
	case faultProxies:
		return fmt.Sprintf("%s: %s at %d upstreams for %.2f s", at, f.mode, len(f.proxies), f.duration.Seconds())
	case faultChange:
		return at
	case faultTerminate: // the duration does not apply: the process is restarted as soon as it has ended
		return fmt.Sprintf("%s: %s", at, localdeploy.VMName(f.vm))
	}
	return fmt.Sprintf("%s: %s for %.2f s", at, localdeploy.VMName(f.vm), f.duration.Seconds())
}

// plan draws the faults of a run from the random source, sorted by start time.
func (s *soak) plan(length time.Duration) []fault {
	var faults []fault
	for i := range int(length.Seconds() * soakFaultsPerSecond) {
		f := fault{
			kind:     faultKinds[s.random.IntN(len(faultKinds))],
			at:       time.Duration(s.random.Float64() * float64(length)),
			duration: soakMinFaultDuration + time.Duration(s.random.Float64()*float64(soakMaxFaultDuration-soakMinFaultDuration)),
			vm:       s.random.IntN(soakVMs),
			mode:     1 + proxyMode(s.random.IntN(int(proxyModeCount)-1)),
			proxies:  make(map[int]bool), changeNumber: i + 1,
		}
		share := s.random.Float64() // probability that the fault affects a proxy
		for p := range s.deployment.proxies {
			if s.random.Float64() < share {
				f.proxies[p] = true
			}
		}
		faults = append(faults, f)
	}
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// inject starts a fault and ends it after its duration.
func (s *soak) inject(ctx context.Context, f fault) {
	switch f.kind {
	case faultProxies:
		s.setProxyModes(f, f.mode)
		time.Sleep(f.duration)
		s.setProxyModes(f, proxyPass)
		return
	case faultChange:
		s.change(ctx, 1000+f.changeNumber)
		return
	}
	s.vmLocks[f.vm].Lock()
	defer s.vmLocks[f.vm].Unlock()
	vm := s.deployment.vms[f.vm]
	var err error
	switch f.kind {
	case faultKill:
		vm.Kill()
		time.Sleep(f.duration)
		err = vm.Restart()
	case faultFreeze:
		vm.Signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		vm.Signal(syscall.SIGCONT)
	case faultTerminate:
		err = s.terminate(vm)
	}
	if err != nil {
		s.recordViolation("%s: %v", f, err)
	}
}

// terminate stops a process gracefully and restarts it. If the process has just been started and does not handle signals
// yet, SIGTERM ends it immediately. This is not a violation, because the process has not accepted requests by then.
func (s *soak) terminate(vm *localdeploy.Process) error {
	age := vm.Age()
	if err := vm.Stop(stopTimeout); err != nil && (age > soakSignalSetupTime || vm.ExitCode() != exitCodeSignaled) {
		return err
	}
	return vm.Restart()
}

func (s *soak) setProxyModes(f fault, mode proxyMode) {
	for i := range f.proxies {
		s.deployment.proxies[i].setMode(mode)
	}
}
