// Package edge is the data path of gateways that act without a lease: each one may send to every upstream, and what binds
// all gateways together (cold upstreams, extra tries, leaving upstreams) is divided among them or known to all of them. It
// matches requests to routes, lets package balancing choose upstreams, retries and hedges what may run more than once, and
// refuses at once what cannot be served.
//
// A refusal with a 1xxx code is sent only if no upstream can have begun the request.
package edge
