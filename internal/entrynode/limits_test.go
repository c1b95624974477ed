package entrynode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/routing"
	"github.com/bramleypick/bramleypick/routingstate"
)

// Guards against parts of the descriptors that exceed them together.
func TestPartsOfTheDescriptors(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{256, 1024, 4100, 10200} {
		s := Settings{MaxFiles: n}
		sum := reservedFiles
		for _, share := range []float64{
			entryFileShare, upstreamFileShare, controlFileShare, linkFileShare, directoryFileShare, statusFileShare, statusFileShare,
		} {
			sum += s.files(share)
		}
		is.True(sum <= n)
	}
	is.Equal((&Settings{}).files(entryFileShare), 0)
}

// Guards against limits that a single request meets although it is inside those of the configuration, on a VM with 184 MB.
func TestLargestRequestsAreServed(t *testing.T) {
	const maxHeader, maxBody = 16384, 67108864 // bytes
	n, _ := startNode(t, time.Second)
	u := startUpstream(t, 0)
	u.serve(t, n, 20*time.Second)
	view, err := n.Read(t.Context())
	is.New(t).NoErr(err)
	config := *view.Config
	config.Version, config.BaseVersion, config.Limits = 2, 1, routing.Limits{MaxHeaderBytes: maxHeader, MaxBodyBytes: maxBody}
	eventually(t, "the limits are accepted", func() bool {
		result, err := n.Submit(t.Context(), routingstate.Command{Put: &config})
		return err == nil && result.Code == 0
	})
	eventually(t, "the limits are in force", func() bool { return n.cluster.View().Config.Limits.MaxBodyBytes == maxBody })
	time.Sleep(2 * minRefreshInterval) // until the gateway has them
	head := "GET /idempotent/x HTTP/1.1\nHost: h\n" + testID + ": x\n"
	for description, request := range map[string]string{
		"shortest header lines": head + strings.Repeat("a:\n", (maxHeader-len(head)-1)/3) + "\n",
		"one long header line":  head + "a: " + strings.Repeat("v", maxHeader-len(head)-len("a: \n\n")) + "\n\n",
		"largest body":          "POST /idempotent/x HTTP/1.1\r\nHost: h\r\n" + testID + ": x\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("v", maxBody),
	} {
		t.Run(description, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", n.settings.Load().EntryAddress)
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, request)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}

// Guards against large bodies that are read into memory although the request is refused whatever they are.
func TestBodiesOfRefusedRequestsAreNotRead(t *testing.T) {
	const limit = 1 << 20 // bytes, without limits in the configuration
	n, _ := startNode(t, time.Second)
	u := startUpstream(t, 0)
	u.serve(t, n, 20*time.Second)
	length := "Content-Length: 2000000\r\n\r\n"
	for description, test := range map[string]struct {
		request string
		status  int
	}{
		"no route":                  {"POST /other HTTP/1.1\r\nHost: h\r\n" + length, http.StatusNotFound},
		"no route, in chunks":       {"POST /other HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusNotFound},
		"length over the limit":     {"POST /idempotent/x HTTP/1.1\r\nHost: h\r\n" + length, http.StatusRequestEntityTooLarge},
		"expectation of 100":        {"POST /idempotent/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + length, http.StatusRequestEntityTooLarge},
		"in chunks, over the limit": {"POST /idempotent/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("v", limit+1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(description, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", n.settings.Load().EntryAddress)
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(readTimeout / 2))) // before the rest of the body would time out
			_, err = io.WriteString(c, test.request)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, test.status)
			is.True(resp.Close)
		})
	}
	// Small bodies are read, and the connection stays open.
	is := is.New(t)
	c, err := net.Dial("tcp", n.settings.Load().EntryAddress)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nsmall")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.True(!resp.Close)
}
