package crashguard

import "time"

// confirm confirms the loss of an upstream after a connection cut. It returns the suspect of that cut, or nil if the
// cut is older than ConfirmWindow, has no suspect or was confirmed before.
func (g *Guard) confirm(u *upstream, now time.Time) *Suspect {
	c := u.cut
	if c == nil || now.Sub(c.at) > ConfirmWindow || c.suspect == nil {
		return nil
	}
	suspect := c.suspect
	c.suspect = nil
	if !g.addScore(suspect, now) {
		return nil
	}
	return suspect
}

// addScore adds a confirmed loss to the score of the suspect's fingerprint. It returns false if that loss was counted
// before.
func (g *Guard) addScore(s *Suspect, now time.Time) bool {
	record := g.suspicions[s.Fingerprint]
	if record == nil || now.Sub(record.lastLoss) >= SuspicionTTL {
		g.evict(now)
		record = &suspicion{countedLosses: make(map[string]bool)}
		g.suspicions[s.Fingerprint] = record
	}
	loss := s.UpstreamID + "/" + s.BootID
	if record.countedLosses[loss] {
		return false
	}
	record.countedLosses[loss] = true
	record.lastLoss = now
	if s.Sole {
		record.score += SoleScore
	} else {
		record.score += RecentScore
	}
	return true
}

// evict drops the expired suspicions if the guard is full, and the oldest one if none has expired.
func (g *Guard) evict(now time.Time) {
	if len(g.suspicions) < maxSuspicions {
		return
	}
	oldest := ""
	for fingerprint, s := range g.suspicions {
		if now.Sub(s.lastLoss) >= SuspicionTTL {
			delete(g.suspicions, fingerprint)
		} else if oldest == "" || s.lastLoss.Before(g.suspicions[oldest].lastLoss) {
			oldest = fingerprint
		}
	}
	if len(g.suspicions) >= maxSuspicions {
		delete(g.suspicions, oldest)
	}
}
