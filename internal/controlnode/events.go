package controlnode

import "time"

// maxEventsPerIteration limits the events handled in one iteration, so that a continuous stream of events does not delay
// persisting them.
const maxEventsPerIteration = inboxCapacity + proposalCapacity

// waitForEvent waits for one event and handles it. It returns false if the replica was stopped.
func (n *Node) waitForEvent(ticks <-chan time.Time) (more bool, err error) {
	select {
	case <-n.stopping:
		return false, nil
	case <-ticks:
		n.core.Tick()
	case m := <-n.inbox:
		err = n.step(m)
	case p := <-n.proposals:
		n.propose(p)
	case b := <-n.barriers:
		n.reads.add(b)
	case ids := <-n.desiredVoters:
		n.voters.desired = ids
	case t := <-n.snapshots.taken:
		n.writeSnapshot(t)
	case s := <-n.snapshots.saved:
		err = n.compact(s)
	}
	return true, err
}

// pollEvent handles one event if one is pending, and returns false otherwise.
func (n *Node) pollEvent(ticks <-chan time.Time) (handled bool, err error) {
	select {
	case <-ticks:
		n.core.Tick()
	case m := <-n.inbox:
		err = n.step(m)
	case p := <-n.proposals:
		n.propose(p)
	case b := <-n.barriers:
		n.reads.add(b)
	case ids := <-n.desiredVoters:
		n.voters.desired = ids
	case t := <-n.snapshots.taken:
		n.writeSnapshot(t)
	case s := <-n.snapshots.saved:
		err = n.compact(s)
	default:
		return false, nil
	}
	return true, err
}
