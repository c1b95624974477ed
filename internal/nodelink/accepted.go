package nodelink

import (
	"sync"
	"sync/atomic"
)

// callBytes is the memory in bytes that a call takes until its reply is written: its frame, the stack of its goroutine and a reply of
// smallReply.
const callBytes = 8 << 10

// acceptedLinks keeps the limits of the links that other processes opened.
type acceptedLinks struct {
	limits     Limits
	frameBytes atomic.Int64 // of frames that are being read
	calls      atomic.Int64 // that are being served or whose reply is not written

	mu    sync.Mutex
	count int
	// silent are the links that have not sent a frame, oldest first. Processes send one as soon as a link opens.
	silent []*Link
}

func newAcceptedLinks(limits Limits) *acceptedLinks { return &acceptedLinks{limits: limits} }

// add counts a link. It returns false if there is no room.
func (a *acceptedLinks) add(l *Link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limits.Links > 0 && a.count >= a.limits.Links {
		if len(a.silent) == 0 {
			return false
		}
		a.silent[0].close(errDisplaced)
		a.silent = a.silent[1:]
		a.count--
	}
	l.accepted = a
	a.silent = append(a.silent, l)
	a.count++
	return true
}

// identify records that a link has sent a frame. It returns false if the link was displaced.
func (a *acceptedLinks) identify(l *Link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.identified = a.dropSilent(l)
	return l.identified
}

// remove uncounts a link that has ended.
func (a *acceptedLinks) remove(l *Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropSilent(l) || l.identified {
		a.count--
	}
}

// dropSilent reports whether the link was among the silent ones. The caller holds mu.
func (a *acceptedLinks) dropSilent(l *Link) bool {
	for i, other := range a.silent {
		if other == l {
			a.silent = append(a.silent[:i:i], a.silent[i+1:]...)
			return true
		}
	}
	return false
}

// take reserves n bytes for a frame. On a link that this process opened, nothing is limited, and a is nil.
func (a *acceptedLinks) take(n int64) bool {
	if a == nil {
		return true
	}
	if a.frameBytes.Add(n) > a.limits.FrameBytes && a.limits.FrameBytes > 0 {
		a.frameBytes.Add(-n)
		return false
	}
	return true
}

// beginCall reports whether another call may be served.
func (a *acceptedLinks) beginCall() bool {
	if a == nil || a.limits.FrameBytes <= 0 {
		return true
	}
	if a.calls.Add(1) > a.limits.FrameBytes/callBytes {
		a.calls.Add(-1)
		return false
	}
	return true
}

func (a *acceptedLinks) endCall() {
	if a != nil && a.limits.FrameBytes > 0 {
		a.calls.Add(-1)
	}
}

func (a *acceptedLinks) release(n int64) {
	if a != nil {
		a.frameBytes.Add(-n)
	}
}
