package nodelink

import "context"

const (
	// shortQueue is the number of bytes in the send queue above which replies wait. Other frames do not.
	shortQueue = 16 << 10
	// smallReply is the length in bytes up to which replies are not counted as large. Acknowledgments are shorter.
	smallReply = 1 << 10
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

// reply queues the reply to a call and returns once the queue is short again. Further replies wait meanwhile, without the copy that is in
// the queue.
func (l *Link) reply(f frame) {
	if len(f.Body) > smallReply {
		defer l.largeReplies.Add(-1)
		if l.largeReplies.Add(1) > maxLargeReplies {
			f.Body, f.Error = nil, tooManyCalls
		}
	}
	select {
	case l.replying <- struct{}{}:
		defer func() { <-l.replying }()
	case <-l.done:
		return
	}
	l.enqueue(f)
	for l.queued.Load() > shortQueue {
		select {
		case <-l.written:
		case <-l.done:
			return
		}
	}
}
