package edge

import (
	"net/http"

	"github.com/bramleypick/bramleypick/routing"
)

// authenticate determines the client account of the request by its key.
func (c *call) authenticate(accounts *routing.AccountIndex) *failure {
	if accounts == nil {
		return nil
	}
	c.keyed = true
	if key, ok := c.g.cfg.Protocol.Key(c.r.Header); ok {
		c.account = accounts.Find(key)
	}
	if c.account == nil && !c.route.Public {
		return &unknownKey
	}
	return nil
}

// setAccount replaces the key in the header of a request to an upstream by the name of the account. A name that the client sent
// is removed. Without accounts in the configuration, both fields are forwarded like any other.
func (c *call) setAccount(header http.Header) {
	if !c.keyed {
		return
	}
	p := &c.g.cfg.Protocol
	header.Del(p.KeyHeader)
	header.Del(p.AccountHeader)
	if c.account != nil {
		header.Set(p.AccountHeader, c.account.Name)
	}
}

// priority returns the priority of the request; 0 is the highest. That of the account replaces that of the route.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}
