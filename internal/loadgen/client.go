package loadgen

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bramleypick/bramleypick/internal/upstreamconn"
)

const (
	maxClientConnections = 5000 // per address; the generator simulates many clients
	connectTimeout       = 500 * time.Millisecond
	bodyPrefixBytes      = 4 << 10 // length of the start of a response body that is used to classify the response
)

// client sends single attempts to entry VMs. It uses upstreamconn instead of net/http's client, which by itself resends
// requests that have an Idempotency-Key.
type client struct {
	checkBody bool
	body      []byte // has the length of the longest request body

	mu    sync.Mutex
	pools map[string]*upstreamconn.Pool
}

// call is one request of a run. It may be sent in several attempts, which are identical.
type call struct {
	class   *Class
	uri     string
	key     string // empty for idempotent requests
	created time.Time
}

func newClient(c Config) *client {
	longest := 0
	for _, class := range c.Classes {
		longest = max(longest, class.BodyBytes)
	}
	return &client{checkBody: c.CheckBody, body: bytes.Repeat([]byte("x"), longest), pools: map[string]*upstreamconn.Pool{}}
}

func newCall(class *Class, now time.Time) call {
	id := rand.Text()
	c := call{class: class, uri: class.Path + "?n=" + id, created: now}
	if class.NonIdempotent {
		c.key = id
	}
	return c
}

// echoLine returns the first body line of a test upstream's response, which repeats the request.
func (c call) echoLine() string {
	return fmt.Sprintf("%s %s %s\n", c.class.Method, c.uri, c.key)
}

// attempt sends the call once and returns the address used. It skips addresses to which no connection can be opened,
// which is safe because nothing was sent to them.
func (c *client) attempt(ctx context.Context, call call, addresses []string, avoid string) (attemptResult, string) {
	for _, address := range shuffleAvoiding(addresses, avoid) {
		conn, err := c.pool(address).Connect(ctx, false)
		if err == nil {
			return c.exchange(ctx, conn, call, address), address
		}
	}
	return attemptResult{OutcomeNotRun, "no connection"}, ""
}

// shuffleAvoiding returns the addresses in random order, except that avoid comes last if it is one of them.
func shuffleAvoiding(addresses []string, avoid string) []string {
	shuffled := make([]string, 0, len(addresses))
	for _, i := range mathrand.Perm(len(addresses)) {
		if addresses[i] != avoid {
			shuffled = append(shuffled, addresses[i])
		}
	}
	if len(shuffled) < len(addresses) {
		shuffled = append(shuffled, avoid)
	}
	return shuffled
}

func (c *client) exchange(ctx context.Context, conn *upstreamconn.Conn, call call, address string) attemptResult {
	r, err := c.request(ctx, call, address)
	if err != nil {
		conn.Release()
		return attemptResult{OutcomeNotRun, "bad request"}
	}
	resp, out, err := conn.Exchange(ctx, r)
	if err != nil {
		return classifyError(err, out.BytesWritten, false)
	}
	defer resp.Body.Close()
	prefix := make([]byte, bodyPrefixBytes)
	n, err := io.ReadFull(resp.Body, prefix)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	// io.EOF and io.ErrUnexpectedEOF mean here that the body is complete and shorter than the prefix buffer.
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return classifyError(err, out.BytesWritten, true)
	}
	wantLine := ""
	if c.checkBody && call.class.Method != http.MethodHead {
		wantLine = call.echoLine()
	}
	return classifyResponse(resp, prefix[:n], wantLine)
}

// request returns the HTTP request of one attempt, whose timeout header is the time left in ctx.
func (c *client) request(ctx context.Context, call call, address string) (*http.Request, error) {
	var body io.Reader
	if call.class.BodyBytes > 0 {
		body = bytes.NewReader(c.body[:call.class.BodyBytes])
	}
	r, err := http.NewRequestWithContext(ctx, call.class.Method, "http://"+address+call.uri, body)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set("Bramleypick-Timeout-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if call.class.ClientAccount != "" {
		r.Header.Set("Bramleypick-Tenant", call.class.ClientAccount)
	}
	if call.key != "" {
		r.Header.Set("Idempotency-Key", call.key)
		r.Header.Set("Bramleypick-Key-Time", strconv.FormatInt(call.created.UnixMilli(), 10))
	}
	return r, nil
}

func (c *client) pool(address string) *upstreamconn.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = upstreamconn.NewPool(address, upstreamconn.Options{MaxConnections: maxClientConnections, DialTimeout: connectTimeout})
		c.pools[address] = p
	}
	return p
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
}
