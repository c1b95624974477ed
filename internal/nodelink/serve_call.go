package nodelink

import "context"

const (
	// smallReply is the length in bytes up to which replies are not counted as large. Acknowledgments are shorter.
	smallReply = 256
	// maxLargeReplies bounds the large replies of a link that wait or are in the send queue. The callee holds them meanwhile.
	maxLargeReplies = 8
	// maxConcurrentCalls bounds the calls that one link serves concurrently.
	maxConcurrentCalls = 256
	// tooManyCalls is the error in the reply to a call beyond a limit.
	tooManyCalls = "too many calls"
)

// serveCall serves a call, for which some bytes are reserved.
func (l *Link) serveCall(ctx context.Context, f frame, reserved int64) {
	if !l.beginCall() {
		l.accepted.release(reserved)
		l.enqueue(frame{Kind: frameReply, CallID: f.CallID, Error: tooManyCalls})
		return
	}
	go func() {
		defer l.endCall()
		defer l.accepted.release(reserved)
		body, err := l.handler.Serve(ctx, l, f.Method, f.Body)
		reply := frame{Kind: frameReply, CallID: f.CallID, Body: body}
		if err != nil {
			reply.Error = err.Error()
		}
		l.reply(reply)
	}()
}

// beginCall reports whether another call may be served.
func (l *Link) beginCall() bool {
	if !l.accepted.beginCall() {
		return false
	}
	select {
	case l.callSlots <- struct{}{}:
		return true
	default:
		l.accepted.endCall()
		return false
	}
}

func (l *Link) endCall() {
	<-l.callSlots
	l.accepted.endCall()
}

// reply queues the reply to a call. A large one waits for others of the link, and reply returns once it was written: until then, the callee
// holds it in a form that calls may share, and only one copy is in the queue.
func (l *Link) reply(f frame) {
	if len(f.Body) <= smallReply {
		l.enqueue(f)
		return
	}
	defer l.largeReplies.Add(-1)
	if l.largeReplies.Add(1) > maxLargeReplies {
		l.enqueue(frame{Kind: frameReply, CallID: f.CallID, Error: tooManyCalls})
		return
	}
	select {
	case l.replying <- struct{}{}:
		defer func() { <-l.replying }()
	case <-l.done:
		return
	}
	l.enqueue(f)
	for end := l.enqueued.Load(); l.written.Load() < end; {
		select {
		case <-l.wrote:
		case <-l.done:
			return
		}
	}
}
