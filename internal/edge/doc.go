// Package edge is the data path of gateways that work without a lease: each gateway may send to every upstream. Limits
// that apply to all gateways together (on requests to cold upstreams, and on retries and hedges) are divided among
// them, and each gateway knows the state of all upstreams. The package matches requests to routes, selects upstreams
// with package balancing, retries and hedges repeatable requests, and refuses requests that cannot be served.
//
// A refusal with a 1xxx code is sent only if no upstream can have started the request.
package edge
