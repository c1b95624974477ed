package nodelink

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against connections that send nothing and keep out other processes, or open links.
func TestSilentConnectionsAreDisplaced(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := newRecorder(echo)
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, r, Limits{Links: 2}) }()
	var conns []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		conns = append(conns, c)
	}
	_, err = conns[0].Read(make([]byte, 1)) // closed
	is.True(err != nil)
	is.Equal(len(r.opened), 0)
	ping, err := frame{Kind: framePing}.encode()
	is.NoErr(err)
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	_, err = c.Write(ping)
	is.NoErr(err)
	<-r.opened
	cancel()
	is.NoErr(<-served)
	for _, c := range append(conns, c) {
		c.Close()
	}
}

// Guards against memory that is taken for what a frame announces and does not send, and against frames beyond their limit.
func TestFramesTakeWhatTheySend(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	data, err := frame{Kind: frameMessage, Body: make([]byte, size)}.encode()
	is.NoErr(err)
	taken := int64(0)
	f, err := readFrameWithin(bytes.NewReader(data), maxFrameBytes, func(n int64) bool { taken += n; return true })
	is.NoErr(err)
	is.Equal(len(f.Body), size)
	is.True(taken >= size && taken <= 3*size)
	_, err = readFrameWithin(bytes.NewReader(data), maxFrameBytes, func(int64) bool { return false })
	is.Equal(err, errNoRoom)
	_, err = readFrameWithin(bytes.NewReader(data), maxFirstFrameBytes, nil)
	is.True(err != nil)

	announced := binary.BigEndian.AppendUint32(nil, maxFrameBytes)
	taken = 0
	cut := bytes.NewReader(append(announced, make([]byte, frameStep/2)...))
	_, err = readFrameWithin(cut, maxFrameBytes, func(n int64) bool { taken += n; return true })
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(taken, int64(0))
}

// listenerWithError fails the first Accept as if the process were out of file descriptors.
type listenerWithError struct {
	net.Listener
	failed atomic.Bool
}

func (l *listenerWithError) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it is out of file descriptors for a moment.
func TestServeAfterAcceptError(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := newRecorder(echo)
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, &listenerWithError{Listener: inner}, r, Limits{}) }()
	dialer := newRecorder(echo)
	go KeepConnected(ctx, inner.Addr().String(), dialer, func(error) {})
	<-r.opened
	cancel()
	is.NoErr(<-served)
}

// Guards against replies and calls that a process holds without a limit for one that does not read, and against replies that are lost
// once it reads again.
func TestRepliesThatAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const replies, size, calls = 40, 40 << 10, 3
		conn, other := net.Pipe()
		l := newLink(conn, "", false, newRecorder(echo))
		l.accepted = newAcceptedLinks(Limits{FrameBytes: calls * callBytes})
		go l.writeLoop()
		for id := range uint64(replies) {
			go l.reply(frame{Kind: frameReply, CallID: id, Body: make([]byte, size)})
			synctest.Wait()
		}
		is.True(l.enqueued.Load()-l.written.Load() < 2*size)
		l.reply(frame{Kind: frameReply, CallID: replies, Body: []byte("small")}) // does not wait
		lengths := make(map[int]int)
		for range replies + 1 {
			f, err := readFrame(other)
			is.NoErr(err)
			is.Equal(f.Error == tooManyCalls, len(f.Body) == 0)
			lengths[len(f.Body)]++
		}
		is.Equal(lengths, map[int]int{size: maxLargeReplies, 0: replies - maxLargeReplies, len("small"): 1})
		synctest.Wait()
		is.Equal(l.enqueued.Load(), l.written.Load())
		is.Equal(l.largeReplies.Load(), int64(0))
		for range calls {
			is.True(l.accepted.beginCall())
		}
		is.True(!l.accepted.beginCall())
		l.accepted.endCall()
		is.True(l.accepted.beginCall())
		l.Close()
		other.Close()
	})
}
