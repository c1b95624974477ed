package replog

// progressState is the mode in which a leader sends to a follower.
type progressState uint8

const (
	// In progressProbe, the leader sends one append at a time until the follower's log is known to match.
	progressProbe progressState = iota
	// In progressReplicate, the leader sends appends without waiting for the previous ones to be acknowledged.
	progressReplicate
	// In progressSnapshot, the leader sends no appends until the snapshot is acknowledged or times out.
	progressSnapshot
)

// maxInflightAppends limits the unacknowledged appends to a follower. Together with MaxMessageBytes it bounds the
// unacknowledged bytes per follower. Further entries are batched into the next append.
const maxInflightAppends = 16

// progress is a leader's view of a follower's log.
type progress struct {
	state progressState
	// match is the last index up to which the follower's log is known to match. next is the index to send next.
	match, next uint64
	// inflight holds the last index of each unacknowledged append, in increasing order.
	inflight []uint64
	// sentCommit is the highest commit index that was sent.
	sentCommit uint64
	// probeSent suppresses further probes until a response to an append or a heartbeat arrives.
	probeSent bool
	// resend forces an append even if there are no new entries, because a message may have been lost.
	resend bool
	// ackedRound is the latest heartbeat round that the follower acknowledged.
	ackedRound uint64
	// ticksSinceResponse counts the ticks since the last response. If there was none in this term, it counts from the
	// election or, for a replica added since then, from its addition.
	ticksSinceResponse int
	// responded is set by the first response in this term.
	responded bool
	// snapshotElapsed counts the ticks since the snapshot was sent. The snapshot is sent again after snapshotTimeout
	// ticks without an acknowledgement. The timeout doubles with every attempt, because a snapshot that takes longer to
	// transmit than a fixed timeout would be restarted forever.
	snapshotElapsed, snapshotTimeout int
}

func newProgress(last uint64) *progress { return &progress{next: last + 1} }

func (p *progress) hasInflightCapacity() bool { return len(p.inflight) < maxInflightAppends }

// needsAppend reports whether an append is due, given the leader's last index and commit index.
func (p *progress) needsAppend(last, commit uint64) bool {
	switch p.state {
	case progressProbe:
		return !p.probeSent && p.match < last
	case progressReplicate:
		return p.resend || p.hasInflightCapacity() && (p.next <= last || p.sentCommit < min(commit, p.next-1))
	}
	return false
}

// recordSentAppend records that an append with entries up to last and with the given commit index was sent.
func (p *progress) recordSentAppend(last, commit uint64) {
	p.resend = false
	p.sentCommit = max(p.sentCommit, commit)
	if p.state == progressProbe {
		p.probeSent = true
		return
	}
	if last >= p.next {
		p.inflight = append(p.inflight, last)
		p.next = last + 1
	}
}

// startProbing returns to sending one append at a time, starting after the given index or after match if that is
// higher.
func (p *progress) startProbing(after uint64) {
	p.state, p.next = progressProbe, max(after, p.match)+1
	p.inflight, p.probeSent, p.resend = nil, false, false
	// The message with the commit index may have been lost together with the entries.
	p.sentCommit = 0
}

// recordSentSnapshot records that a snapshot was sent. The first attempt times out after firstTimeout ticks.
func (p *progress) recordSentSnapshot(index uint64, firstTimeout int) {
	p.state, p.next = progressSnapshot, index+1
	p.inflight, p.snapshotElapsed = nil, 0
	p.snapshotTimeout = max(firstTimeout, 2*p.snapshotTimeout)
}

// recordAck records that the follower's log matches up to index and that these entries are durable.
func (p *progress) recordAck(index uint64) {
	p.match = max(p.match, index)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	switch {
	case p.state == progressReplicate:
		p.next = max(p.next, p.match+1)
	case p.state == progressProbe || p.match+1 >= p.next:
		p.state, p.next = progressReplicate, p.match+1
		p.snapshotTimeout = 0
	}
}

// recordReject records that the follower's log does not match at index and may match at hint. It ignores outdated
// rejections.
func (p *progress) recordReject(index, hint uint64) {
	switch {
	case index <= p.match:
	case p.state == progressReplicate:
		p.startProbing(p.match)
	case p.state == progressProbe && index == p.next-1:
		p.startProbing(min(hint, index-1))
	}
}

// recordResponse records a response of the current term.
func (p *progress) recordResponse() { p.ticksSinceResponse, p.responded = 0, true }

// tick advances time by one tick. If a snapshot was not acknowledged in time, it returns to probing, so that the
// snapshot is sent again.
func (p *progress) tick() {
	p.ticksSinceResponse++
	if p.state != progressSnapshot {
		return
	}
	if p.snapshotElapsed++; p.snapshotElapsed >= p.snapshotTimeout {
		p.startProbing(p.match)
	}
}

// recordHeartbeatAck records the acknowledgement of a heartbeat round and requests another append if the follower lacks
// entries. If an earlier append was lost, the follower rejects this one because of the gap.
func (p *progress) recordHeartbeatAck(round, last uint64) {
	p.ackedRound = max(p.ackedRound, round)
	p.probeSent = false
	p.resend = p.match < last
}
