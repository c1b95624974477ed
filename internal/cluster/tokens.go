package cluster

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/bootclock"
	"github.com/bramleypick/bramleypick/internal/nodelink"
	"github.com/bramleypick/bramleypick/quota"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/routing"
)

// maxTokenRedirects bounds how often one request for tokens is sent on to the replica that another one named. Two replicas may
// take each other for the leader during an election.
const maxTokenRedirects = 2

// tokenReply is the reply to a quota.Request: the grant, or the peer address of the leader as far as the replica knows it.
type tokenReply struct {
	Grant  *quota.Grant `cbor:"1,keyasint,omitempty"`
	Leader string       `cbor:"2,keyasint,omitempty"`
}

// tokens is the state of the grants of tokens for accounts: the owner, if this process runs the leader, and the replica that
// requests are sent to.
type tokens struct {
	mu     sync.Mutex
	owner  *quota.Owner
	config *routing.Config // with the limits of the owner

	target    *nodelink.Link // nil if unknown
	last      []byte         // the last request
	answered  bool           // the target has granted it
	redirects int            // of the last request
	next      int            // the replica to try next
}

// RequestTokens sends a request for tokens to the leader of the control group. The grant is passed to Config.OnGrant, possibly
// before RequestTokens returns. A request without a grant is sent again by the caller, then to another replica.
func (c *Cluster) RequestTokens(r quota.Request) {
	if grant, ok := c.grantTokens(r); ok {
		c.cfg.OnGrant(grant)
		return
	}
	body, err := encode(r)
	if err != nil {
		c.log.Error("failed to encode a request for tokens", zap.Error(err))
		return
	}
	if l := c.tokenTarget(body); l != nil {
		l.Send(methodTokens, body)
	}
}

// tokenTarget returns the link on which to send a request: that of the last grant, or else the next replica.
func (c *Cluster) tokenTarget(body []byte) *nodelink.Link {
	t := &c.tokens
	t.mu.Lock()
	answered, target := t.answered, t.target
	t.last, t.redirects, t.answered = body, 0, false
	t.mu.Unlock()
	if answered && !isClosed(target) {
		return target
	}
	links, leader := c.links(), c.leaderLink()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(links) == 0 {
		return nil
	}
	if leader != nil && t.target != leader {
		t.target = leader
		return leader
	}
	t.next = (t.next + 1) % len(links)
	t.target = links[t.next]
	return t.target
}

func isClosed(l *nodelink.Link) bool {
	select {
	case <-l.Done():
		return true
	default:
		return false
	}
}

// leaderLink returns the link to the leader that this process's replica follows, or nil.
func (c *Cluster) leaderLink() *nodelink.Link {
	address := c.leaderAddress()
	if address == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed[address]
}

// leaderAddress returns the peer address of the leader that this process's replica follows, or "".
func (c *Cluster) leaderAddress() string {
	r := c.runningReplica()
	if r == nil {
		return ""
	}
	n, ok := c.nodes.NodeByReplicaID(uint64(r.node.Status().Leader))
	if !ok {
		return ""
	}
	return n.PeerAddress
}

// serveTokens replies to a request for tokens of another process.
func (c *Cluster) serveTokens(l *nodelink.Link, r quota.Request) {
	var reply tokenReply
	if grant, ok := c.grantTokens(r); ok {
		reply.Grant = &grant
	} else {
		reply.Leader = c.leaderAddress()
	}
	body, err := encode(reply)
	if err != nil {
		c.log.Error("failed to encode a grant of tokens", zap.Error(err))
		return
	}
	l.Send(methodGrant, body)
}

// grantTokens serves a request if this process's replica is certainly the only leader.
func (c *Cluster) grantTokens(r quota.Request) (quota.Grant, bool) {
	replica := c.runningReplica()
	if replica == nil || replica.node.Status().Role != replog.RoleLeader {
		return quota.Grant{}, false
	}
	t := &c.tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	if !c.updateOwner(replica, now) {
		return quota.Grant{}, false
	}
	return t.owner.Serve(r, now), true
}

// prepareTokens makes the leader the owner of the tokens as soon as an account has a rate. A new owner grants less at first, so that
// requests would be late if it became the owner with the first of them.
func (c *Cluster) prepareTokens(replica *replica) {
	config := c.View().Config
	if replica.node.Status().Role != replog.RoleLeader || config == nil {
		return
	}
	t := &c.tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config != config && quota.Limits(config) == nil {
		return
	}
	c.updateOwner(replica, bootclock.Now())
}

// updateOwner makes this process the owner for its term as the leader, with the limits in force. It returns false if this process is
// not certainly the only leader. The caller holds the mutex of the tokens.
func (c *Cluster) updateOwner(replica *replica, now time.Duration) bool {
	t := &c.tokens
	term, ok := replica.node.LeaderTerm(now)
	if !ok {
		return false
	}
	config := c.View().Config
	if t.owner == nil || t.owner.Term() != term {
		t.owner, t.config = quota.NewOwner(term, c.cfg.QuotaBound, now), nil
		c.log.Info("this process grants the tokens of accounts", zap.Uint64("term", term), zap.Int("processes", len(c.nodes.Alive())))
	}
	if t.config != config {
		t.owner.SetLimits(quota.Limits(config), now)
		t.config = config
	}
	return true
}

// receiveGrant handles the reply of a replica.
func (c *Cluster) receiveGrant(l *nodelink.Link, reply tokenReply) {
	t := &c.tokens
	if reply.Grant != nil {
		t.mu.Lock()
		t.target, t.answered = l, true
		t.mu.Unlock()
		c.cfg.OnGrant(*reply.Grant)
		return
	}
	c.mu.Lock()
	leader := c.dialed[reply.Leader]
	c.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader == nil || leader == l || t.last == nil || t.answered || t.redirects >= maxTokenRedirects {
		return
	}
	t.redirects++
	t.target = leader
	leader.Send(methodTokens, t.last)
}

// GrantsTokens reports whether this process grants tokens, which it does once it was asked as the leader.
func (c *Cluster) GrantsTokens() bool {
	r := c.runningReplica()
	if r == nil {
		return false
	}
	term, ok := r.node.LeaderTerm(bootclock.Now())
	c.tokens.mu.Lock()
	defer c.tokens.mu.Unlock()
	return ok && c.tokens.owner != nil && c.tokens.owner.Term() == term
}
