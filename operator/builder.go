// Package operator is the library with which operators declare a configuration in Go. A program declares availability
// zones, services, client accounts and planned stops on a Builder and writes the canonical JSON, which the operator API
// accepts:
//
//	b := operator.New()
//	b.Zones("north", "south")
//	b.Service("status").Class("read").Method("GET").Path("/status").Idempotent()
//	b.StopZone("south")
//	err := b.Write(os.Stdout)
//
// The output does not depend on the order of the declarations. If any declaration is invalid, Write writes nothing and
// returns all faults together.
package operator

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/dynconfig"
)

// Builder collects the declarations of one configuration. It is not safe for concurrent use.
type Builder struct {
	zones          []dynconfig.Zone
	services       []*Service
	clientAccounts []dynconfig.ClientAccount
	stops          []dynconfig.Stop
	faults         dynconfig.Faults
}

// New returns a Builder without declarations.
func New() *Builder {
	return &Builder{}
}

// Zones declares availability zones.
func (b *Builder) Zones(names ...string) *Builder {
	for _, name := range names {
		b.zones = append(b.zones, dynconfig.Zone{Name: name})
	}
	return b
}

// ClientAccount declares a client account with the default weight.
func (b *Builder) ClientAccount(name string) *Builder {
	return b.ClientAccountWithWeight(name, 0)
}

// ClientAccountWithWeight declares a client account. weight is its share of the slots relative to other accounts when
// all slots are busy; zero means the default, 1.
func (b *Builder) ClientAccountWithWeight(name string, weight int) *Builder {
	b.clientAccounts = append(b.clientAccounts, dynconfig.ClientAccount{Name: name, Weight: weight})
	return b
}

// StopZone declares a planned stop of an availability zone.
func (b *Builder) StopZone(zone string) *Builder {
	return b.stop(dynconfig.Stop{Zone: zone})
}

// StopUpstream declares a planned stop of one upstream.
func (b *Builder) StopUpstream(id string) *Builder {
	return b.stop(dynconfig.Stop{Upstream: id})
}

func (b *Builder) stop(s dynconfig.Stop) *Builder {
	b.stops = append(b.stops, s)
	return b
}

// ReturnZone removes a previously declared stop of an availability zone, for example one that Load has added or that code
// shared by several programs declares. It is a fault if there is no such stop.
func (b *Builder) ReturnZone(zone string) *Builder {
	return b.removeStop(dynconfig.Stop{Zone: zone})
}

// ReturnUpstream removes a previously declared stop of one upstream. It is a fault if there is no such stop.
func (b *Builder) ReturnUpstream(id string) *Builder {
	return b.removeStop(dynconfig.Stop{Upstream: id})
}

func (b *Builder) removeStop(stop dynconfig.Stop) *Builder {
	for i, s := range b.stops {
		if s == stop {
			b.stops = append(b.stops[:i:i], b.stops[i+1:]...)
			return b
		}
	}
	b.faults = append(b.faults, dynconfig.Fault{
		Path: "$.stops", Value: fmt.Sprintf("return of %+q", stop.Zone+stop.Upstream), Allowed: "a zone or upstream with a planned stop",
	})
	return b
}

// Load adds the declarations of an existing configuration, such as the one in force. Call it at most once, before other
// declarations.
func (b *Builder) Load(json []byte) *Builder {
	config, err := dynconfig.Decode(json)
	if err != nil {
		var faults dynconfig.Faults
		errors.As(err, &faults)
		b.faults = append(b.faults, faults...)
		return b
	}
	b.zones = append(b.zones, config.Zones...)
	b.clientAccounts = append(b.clientAccounts, config.ClientAccounts...)
	b.stops = append(b.stops, config.Stops...)
	for _, s := range config.Services {
		service := &Service{config: s}
		for _, c := range s.Classes {
			service.classes = append(service.classes, &Class{config: c})
		}
		b.services = append(b.services, service)
	}
	return b
}

// Config returns the declared configuration. The error is a dynconfig.Faults with every fault of the declarations.
func (b *Builder) Config() (dynconfig.Config, error) {
	c := dynconfig.Config{Zones: b.zones, ClientAccounts: b.clientAccounts, Stops: b.stops}
	for _, s := range b.services {
		c.Services = append(c.Services, s.build())
	}
	faults := append(b.faults[:len(b.faults):len(b.faults)], c.Validate()...)
	if len(faults) > 0 {
		return dynconfig.Config{}, faults
	}
	return c, nil
}

// Write writes the canonical JSON and a newline to w. If a declaration is invalid, it writes nothing and returns a
// dynconfig.Faults.
func (b *Builder) Write(w io.Writer) error {
	c, err := b.Config()
	if err != nil {
		return err
	}
	data, err := dynconfig.Canonical(c)
	if err != nil {
		return err
	}
	_, err = w.Write(append(data, '\n'))
	return errors.Wrap(err, "write the configuration")
}
