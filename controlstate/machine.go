package controlstate

import (
	"fmt"
	"strings"
	"sync"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Options are the limits of a Machine. They must be the same on every replica, because the results depend on them.
type Options struct {
	// MaxClaims limits the number of claims. Zero means the default of 1,000,000.
	MaxClaims int
	// MaxResponseBytes limits the total size of the recorded responses. Further responses are recorded as too large. Zero
	// means the default of 512 MiB.
	MaxResponseBytes int
}

// Machine is the replicated state machine. It is safe for concurrent use. Apply and Restore are meant for a single
// goroutine, which calls them in the order of the log.
type Machine struct {
	opts Options

	mu    sync.Mutex
	state state
	// view is the current view, or nil if it is out of date. It is rebuilt only on the next read, so that a burst of changes
	// does not copy the state each time.
	view *View
	plan plan
}

// state is the replicated state, which a snapshot contains in full.
type state struct {
	index     uint64 // Of the last command applied.
	now       int64  // Largest AtUnixMilli seen, in ms since the Unix epoch.
	viewIndex uint64 // Of the last change visible in the view.

	config        dynconfig.Config
	configJSON    []byte // Canonical.
	configVersion uint64
	configDigest  string
	services      map[string]*dynconfig.Service // The services of config by name, because there may be thousands.

	changes   changeTable
	sessions  sessionTable
	upstreams upstreamTable
	claims    claimTable
	crashes   crashTable
	horizons  map[string]*horizonChange // By service.
}

// New returns an empty Machine.
func New(opts Options) *Machine {
	if opts.MaxClaims == 0 {
		opts.MaxClaims = DefaultMaxClaims
	}
	if opts.MaxResponseBytes == 0 {
		opts.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Machine{opts: opts, state: newState()}
}

func newState() state {
	return state{
		changes:   newChangeTable(),
		sessions:  newSessionTable(),
		upstreams: newUpstreamTable(),
		claims:    newClaimTable(),
		crashes:   newCrashTable(),
		horizons:  make(map[string]*horizonChange),
	}
}

// Apply applies the command at a log index and returns the encoded Result. Indexes must increase. A command at an index that
// was already applied changes nothing.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, err := EncodeResult(m.apply(index, data))
	if err != nil {
		panic(err) // Result has only types that always encode.
	}
	return encoded
}

func (m *Machine) apply(index uint64, data []byte) Result {
	if index <= m.state.index {
		return failure(resultcode.MalformedCommand, "index %d was applied already; the last is %d", index, m.state.index)
	}
	m.state.index = index
	c, err := DecodeCommand(data)
	if err != nil {
		return failure(resultcode.MalformedCommand, "%+q", err.Error())
	}
	m.advance(c.AtUnixMilli)
	switch c.Kind {
	case KindApplyConfig:
		return m.applyConfig(c.ApplyConfig)
	case KindOpenSession:
		return m.openSession(c.OpenSession)
	case KindLeaveSession:
		return m.leaveSession(c.LeaveSession)
	case KindExpireSession:
		return m.expireSession(c.ExpireSession)
	case KindRegisterUpstream:
		return m.registerUpstream(c.RegisterUpstream)
	case KindRemoveUpstream:
		return m.removeUpstream(c.RemoveUpstream)
	case KindAssign:
		return m.assign(c.Assign)
	case KindRelease:
		return m.release(c.Release)
	case KindBeginClaim:
		return m.beginClaim(c.BeginClaim)
	case KindFinishClaim:
		return m.finishClaim(c.FinishClaim)
	case KindReleaseClaim:
		return m.releaseClaim(c.ReleaseClaim)
	case KindReportCrash:
		return m.reportCrash(c.ReportCrash)
	default: // KindEditStop; DecodeCommand rejects unknown kinds.
		return m.editStop(c.EditStop)
	}
}

// advance moves the time forward and drops expired records.
func (m *Machine) advance(at int64) {
	s := &m.state
	s.now = max(s.now, at)
	s.changes.prune(s.now)
	s.sessions.prune(s.now)
	s.claims.prune(s.now)
	if s.crashes.prune(s.now) {
		m.invalidateView()
	}
}

func (s *state) setConfig(config dynconfig.Config, canonical []byte) {
	s.config, s.configJSON, s.configDigest = config, canonical, dynconfig.Digest(canonical)
	s.services = servicesByName(&config)
}

func servicesByName(config *dynconfig.Config) map[string]*dynconfig.Service {
	services := make(map[string]*dynconfig.Service, len(config.Services))
	for i := range config.Services {
		services[config.Services[i].Name] = &config.Services[i]
	}
	return services
}

// invalidateView must be called after every change of the state that is visible to gateways.
func (m *Machine) invalidateView() {
	m.state.viewIndex = m.state.index
	m.view = nil
}

// failure returns the result of a rejected command. The message is truncated to maxMessageBytes, because it may quote a field
// that is as long as the command.
func failure(c resultcode.Code, format string, args ...any) Result {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	return Result{Code: c, Message: message}
}
