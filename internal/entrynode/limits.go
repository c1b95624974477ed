package entrynode

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/internal/pipeline"
	"github.com/bramleypick/bramleypick/internal/upstreamconn"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// clientMemoryShare is the share of the memory that everything clients make the process hold may take. It leaves as much for the
	// process itself (20 to 60 MB) and for garbage. Of 184 MB, a body of 64 MiB, the usual routing.Limits.MaxBodyBytes, fits into the
	// part for large requests.
	clientMemoryShare = 0.45
	// defaultMemory replaces the memory of the VM in bytes if that is unknown: that of the smallest known VMs.
	defaultMemory = 184 << 20
	// linkMemoryShare is the share of the memory that the frames being read on links of other processes may take. They have a part of
	// their own, since the control group must not depend on what clients do. minLinkMemory is twice the largest frame,
	// and applies up to maxLinkMemoryShare of the memory.
	linkMemoryShare    = 0.1
	minLinkMemory      = 32 << 20
	maxLinkMemoryShare = 0.175

	// upstreamMemoryShare is the share of the memory for the upstreams that are known, and upstreamBytes what one takes: its entry, its
	// state in the gateway and a copy for a while when it changes.
	upstreamMemoryShare, upstreamBytes = 0.1, 2 << 10

	// apiLargeShare is the share of that memory that large requests to the API may use. It is above that of client requests, so that
	// these do not keep out the operators' configurations.
	apiLargeShare = 0.9

	// maxHeaderLines is the number of lines that a header of 16,384 bytes can have at most, the usual value of
	// routing.Limits.MaxHeaderBytes: the shortest line ("a:" and a line feed) has 3 bytes. It limits headers between that and
	// maxHeaderBytes, whose lines take most of the memory.
	maxHeaderLines = 16384 / 3

	// clientReceiveBuffer is the size of the receive buffer of a client's connection, in bytes. pipeline charges it with the connection.
	clientReceiveBuffer = 16 << 10

	// reservedFiles are the file descriptors for listeners, the log, links to replicas, and connections that were accepted and
	// are closed next.
	reservedFiles = 40
	// The shares of the other descriptors. The control port has as many as a deployment of 2,100 VMs has upstreams for each replica.
	entryFileShare, upstreamFileShare, controlFileShare, linkFileShare, directoryFileShare = 0.4, 0.3, 0.1, 0.1, 0.06
	// statusFileShare is the share of the ready port, and that of the metrics port.
	statusFileShare = 0.02
	// minPortFiles is the least that a port gets.
	minPortFiles = 4

	// apiTimeout limits the time for reading a request to the API, whose bodies may have 4 MB; that takes 9 s on a link of 3.8 Mbit/s.
	apiTimeout = 30 * time.Second
	// maxAPIBody limits the body of a request to the API, in bytes. The handlers have limits of their own, up to 4 MiB.
	maxAPIBody = 4<<20 + 1
	// resourceLogInterval is the shortest time between two log lines about refused or closed clients.
	resourceLogInterval = time.Second
)

// clientMemory returns the number of bytes that clients may make a process with these settings hold.
func (s *Settings) clientMemory() int64 {
	return int64(clientMemoryShare * float64(cmp.Or(s.MemoryBytes, defaultMemory)))
}

// files returns a share of the file descriptors, or zero if their number is unknown.
func (s *Settings) files(share float64) int {
	if s.MaxFiles <= 0 {
		return 0
	}
	return max(minPortFiles, int(share*float64(s.MaxFiles-reservedFiles)))
}

func (s *Settings) maxUpstreams() int {
	return int(upstreamMemoryShare*float64(cmp.Or(s.MemoryBytes, defaultMemory))) / upstreamBytes
}

func (s *Settings) linkLimits() nodelink.Limits {
	limits := nodelink.Limits{Links: s.files(linkFileShare), FrameBytes: minLinkMemory}
	if s.MemoryBytes > 0 {
		memory := float64(s.MemoryBytes)
		limits.FrameBytes = int64(max(linkMemoryShare*memory, min(minLinkMemory, maxLinkMemoryShare*memory)))
	}
	return limits
}

// upstreamLimiter returns nil if the number of file descriptors is unknown.
func (s *Settings) upstreamLimiter() *upstreamconn.Limiter {
	if n := s.files(upstreamFileShare); n > 0 {
		return upstreamconn.NewLimiter(n)
	}
	return nil
}

// apiServer serves one of the ports that are not for clients. Requests of one connection are handled in order.
func (n *Node) apiServer(h http.Handler, fileShare float64) *pipeline.Server {
	return &pipeline.Server{
		Handler: pipeline.SizedResponses(h), IdleTimeout: idleTimeout, ReadTimeout: apiTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxHeaderLines: maxHeaderLines, MaxBodyBytes: maxAPIBody, MaxPending: 1, MaxConnections: n.settings.Load().files(fileShare),
		Budget: n.budget, Bodies: &n.bodies, LargeShare: apiLargeShare, RefusalBody: refusalBody,
		OnRefused: n.countRefusal, OnDisplaced: n.logDisplaced, OnPanic: n.logPanic,
	}
}

func (n *Node) logPanic(value any, stack []byte) {
	n.log.Error("panic while serving a request", zap.Any("value", value), zap.ByteString("stack", stack))
}

// refusalBody is the body of the response to a request for which there is no memory.
var refusalBody = func() []byte {
	info, _ := resultcode.ClientResources.Info()
	data, err := json.Marshal(struct {
		Code    resultcode.Code `json:"code"`
		Name    string          `json:"name"`
		NotRun  bool            `json:"not_run"`
		Message string          `json:"message"`
	}{resultcode.ClientResources, info.Name, info.NotRun, "the clients hold all memory that they may use"})
	if err != nil {
		panic(err) // cannot happen: all fields are basic types
	}
	return data
}()

// countRefusal counts a request that was refused before the gateway saw it, and logs it unless another one was logged just before.
func (n *Node) countRefusal(client net.Addr, status int) {
	name := "clients.refused_invalid"
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		name = "clients.refused_header"
	case http.StatusServiceUnavailable:
		name = "clients.refused_memory"
	}
	metrics.GetOrRegisterCounter(name, n.metrics.Registry).Inc(1)
	n.logResources("request refused before it was read", zap.Int("status", status), zap.Stringer("client", client))
}

// logDisplaced logs that a connection was closed to make room for others.
func (n *Node) logDisplaced(client net.Addr, held int64) {
	n.logResources("connection closed to make room", zap.Stringer("client", client), zap.Int64("held_by_client", held))
}

// logResources logs a line with what clients hold now, unless there was one just before.
func (n *Node) logResources(message string, fields ...zap.Field) {
	now := time.Now()
	last := n.resourcesLoggedAt.Load()
	if last != nil && now.Sub(*last) < resourceLogInterval || !n.resourcesLoggedAt.CompareAndSwap(last, &now) {
		return
	}
	s := n.budget.Stats()
	n.log.Warn(message, append(fields, zap.Int64("held_bytes", s.Held), zap.Int64("limit_bytes", s.Limit),
		zap.Int("connections", s.Connections), zap.Int64("closed_total", s.Evicted), zap.Int64("no_room_total", s.Refused))...)
}

// updateResourceGauges sets the gauges of what clients hold.
func (n *Node) updateResourceGauges() {
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.metrics.Registry).Update(value) }
	s := n.budget.Stats()
	gauge("clients.held_bytes", s.Held)
	gauge("clients.limit_bytes", s.Limit)
	gauge("clients.connections", int64(s.Connections))
	gauge("clients.closed", s.Evicted)
	gauge("clients.no_room", s.Refused)
	if n.upstreams != nil {
		gauge("upstreams.connections", int64(n.upstreams.Open()))
	}
}
