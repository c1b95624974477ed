package api

import (
	"context"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/bramleypick/bramleypick/resultcode"
)

// SystemPrefix is the prefix of the paths that bramleypick itself serves, as opposed to the paths of services.
const SystemPrefix = "/.bramleypick/"

// maxAnnouncementBytes limits the body of an announcement, in bytes.
const maxAnnouncementBytes = 4 << 10

// AddressesResponse is the response to a caller's lookup of the gateways of a service.
type AddressesResponse struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the caller may cache the response, in ms.
	TTLMillis int `json:"ttl_ms"`
}

// Announcement is the body with which an upstream registers itself and renews its registration. Upstreams repeat it
// about once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the upstream's IP and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that the upstream runs concurrently, at least 1.
	Slots int `json:"slots"`
	// BootID identifies one start of the upstream process.
	BootID string `json:"boot_id"`
	// InFlight is the number of requests that the upstream is running.
	InFlight int `json:"inflight"`
	// MaxConnections is the maximum number of connections that a gateway opens to the upstream, at least 1.
	MaxConnections int `json:"max_connections"`
}

// AnnouncementResponse is the response to an announcement.
type AnnouncementResponse struct {
	// RenewAt is the caller address of the gateway that owns the upstream. Other gateways forward renewals to it, which
	// costs an extra hop.
	RenewAt string `json:"renew_at,omitempty"`
	// TTLMillis is the time without a renewal after which the upstream is removed, in ms.
	TTLMillis int64 `json:"ttl_ms"`
}

// CallerBackend implements the paths below SystemPrefix on the caller listener.
type CallerBackend interface {
	// Addresses returns the gateways of a service, those in zone first. zone may be empty.
	Addresses(service, zone string) (AddressesResponse, error)
	// Announce registers the upstream with the given id or renews its registration.
	Announce(ctx context.Context, id string, a Announcement) (AnnouncementResponse, error)
}

// NewCallerHandler returns the handler of the caller listener. It serves the paths below SystemPrefix with backend and
// passes all other requests to dataPath.
func NewCallerHandler(backend CallerBackend, dataPath http.Handler) http.Handler {
	e := newEcho()
	e.GET(SystemPrefix+"v1/addresses/:service", func(c echo.Context) error {
		response, err := backend.Addresses(c.Param("service"), c.QueryParam("zone"))
		return respond(c, response, err)
	})
	e.PUT(SystemPrefix+"v1/upstreams/:id", func(c echo.Context) error {
		var a Announcement
		if err := decodeBody(c, maxAnnouncementBytes, &a); err != nil {
			return respond(c, nil, err)
		}
		if err := checkSourceAddress(c.Request().RemoteAddr, a.Address); err != nil {
			return respond(c, nil, err)
		}
		response, err := backend.Announce(c.Request().Context(), c.Param("id"), a)
		return respond(c, response, err)
	})
	return prefixHandler{system: e, dataPath: dataPath}
}

// prefixHandler separates the paths below SystemPrefix from the data path, so that requests to services bypass the
// router.
type prefixHandler struct {
	system   http.Handler
	dataPath http.Handler
}

func (h prefixHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) >= len(SystemPrefix) && r.URL.Path[:len(SystemPrefix)] == SystemPrefix {
		h.system.ServeHTTP(w, r)
		return
	}
	h.dataPath.ServeHTTP(w, r)
}

// checkSourceAddress rejects an announcement that does not come from the IP address that it announces, so that one
// upstream cannot register in place of another.
func checkSourceAddress(remote, announced string) error {
	remoteHost, _, err := net.SplitHostPort(remote)
	if err != nil {
		return resultcode.Errorf(resultcode.MalformedBody, "unknown source address")
	}
	host, _, err := net.SplitHostPort(announced)
	if err != nil || net.ParseIP(host) == nil {
		return resultcode.Errorf(resultcode.MalformedBody, "address %q is not an IP number and a port", announced)
	}
	if !net.ParseIP(host).Equal(net.ParseIP(remoteHost)) {
		return resultcode.Errorf(resultcode.UpstreamSourceAddress, "announced address %s, source address %s", host, remoteHost)
	}
	return nil
}
