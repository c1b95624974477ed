package controlstate

import (
	"bytes"
	"unique"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

func (m *Machine) beginClaim(c *BeginClaim) Result {
	s := &m.state
	if message := c.fault(); message != "" {
		return failed(resultcode.MalformedRequest, "%s", message)
	}
	found := s.claims.byKey[c.Key]
	u := s.upstreams.byID[c.UpstreamID]
	switch {
	case !s.sessions.alive(c.SessionID):
		return unknownSession(c.SessionID)
	case u == nil:
		return heldBy(found, c, unknownUpstream(c.UpstreamID))
	case u.Owner != c.SessionID || u.Epoch != c.Epoch:
		return heldBy(found, c, staleEpoch(u))
	case c.KeyUnixMilli > s.now+ClockToleranceMillis:
		return failed(resultcode.MalformedRequest, "the key's time is more than 5 minutes in the future")
	case c.KeyUnixMilli != 0 && c.KeyUnixMilli+c.HorizonMillis < s.now:
		return failed(resultcode.ClaimExpired, "the key's time is more than %d ms ago", c.HorizonMillis)
	case found == nil && s.mayHaveBeenDropped(c):
		return failed(resultcode.ClaimExpired, "a claim of this key may have been dropped before the service's horizon was raised")
	case found == nil:
		return m.addClaim(c)
	case found.state == claimReleased:
		return m.grantAgain(found, c)
	case found.digest != string(c.RequestDigest):
		return failed(resultcode.ClaimMismatch, "the idempotency key was used for a different request")
	}
	s.claims.extend(found, c)
	return found.answerTo(c)
}

// heldBy adds the claim's id to a refusal if this very attempt holds the claim, so that the session, which does not know
// whether its first command was applied, can release it. It is not released here: the first command may have been
// answered and the request sent.
func heldBy(found *claim, c *BeginClaim, refusal Result) Result {
	if found != nil && found.state == claimRunning && found.session == c.SessionID && found.attempt == c.Attempt {
		refusal.ClaimID = found.id
	}
	return refusal
}

func (m *Machine) addClaim(c *BeginClaim) Result {
	t := &m.state.claims
	if len(t.byKey) >= m.opts.MaxClaims {
		return failed(resultcode.ControlUnavailable, "there are %d claims, the most allowed", len(t.byKey))
	}
	t.add(m.newClaim(c))
	return Result{ClaimID: m.state.index}
}

// grantAgain grants a released claim. Nothing ran under it, so the new request may be a different one.
func (m *Machine) grantAgain(found *claim, c *BeginClaim) Result {
	if found.attempt == c.Attempt {
		return failed(resultcode.UnknownClaim, "this attempt released its claim")
	}
	granted := m.newClaim(c)
	granted.heapPos = found.heapPos
	*found = *granted
	m.state.claims.grant(found)
	return Result{ClaimID: found.id}
}

func (m *Machine) newClaim(c *BeginClaim) *claim {
	key := c.Key
	key.Service = unique.Make(key.Service).Value()
	key.Tenant = unique.Make(key.Tenant).Value()
	base := c.KeyUnixMilli
	if base == 0 {
		base = m.state.now
	}
	return &claim{
		key: key, id: m.state.index, session: c.SessionID, attempt: c.Attempt, digest: string(c.RequestDigest),
		base: base, horizon: m.state.horizonOf(c), state: claimRunning, heapPos: -1,
	}
}

// answerTo answers a command that found the claim held.
func (c *claim) answerTo(begin *BeginClaim) Result {
	switch c.state {
	case claimRunning:
		if c.session == begin.SessionID && c.attempt == begin.Attempt {
			return Result{ClaimID: c.id}
		}
		return failed(resultcode.ClaimRunning, "a request with this idempotency key is running")
	case claimUnknown:
		return failed(resultcode.ClaimOutcomeUnknown, "a request with this idempotency key was sent; its outcome is not known")
	}
	var answer Answer
	if err := decMode.Unmarshal(c.answer, &answer); err != nil {
		panic(err) // The machine encoded it, or checked it in Restore.
	}
	if c.state == claimTooLarge {
		r := failed(resultcode.ResponseNotRecorded, "the request ran, but its answer was too large to record")
		r.Recorded = &answer
		return r
	}
	return Result{Recorded: &answer}
}

// fault returns what is wrong with the fields, or "".
func (c *BeginClaim) fault() string {
	switch {
	case !within(c.Key.Service, 1, dynconfig.MaxNameBytes), !within(c.Key.Tenant, 0, dynconfig.MaxNameBytes):
		return "the service or tenant of the key is empty or too long"
	case !within(c.Key.Key, 1, maxKeyBytes):
		return "the idempotency key must have 1 to 256 bytes"
	case len(c.RequestDigest) < 1 || len(c.RequestDigest) > maxDigestBytes:
		return "the request digest must have 1 to 64 bytes"
	case !within(c.Attempt, 1, maxIDBytes):
		return "the attempt must have 1 to 128 bytes"
	case c.HorizonMillis < 1 || c.HorizonMillis > dynconfig.MaxKeyHorizonMillis:
		return "the horizon must be 1 ms to 7 days"
	case c.KeyUnixMilli < 0 || c.KeyUnixMilli > maxUnixMilli:
		return "the key's time is negative or too large"
	}
	return ""
}

func (m *Machine) finishClaim(c *FinishClaim) Result {
	t := &m.state.claims
	found := t.byKey[c.Key]
	switch {
	case found == nil || found.id != c.ClaimID || found.state == claimReleased:
		return unknownClaim(c.ClaimID)
	case c.Answer != nil && (c.Answer.Status < 100 || c.Answer.Status > 999):
		return failed(resultcode.MalformedCommand, "the answer has the status %d", c.Answer.Status)
	case c.Answer == nil:
		if found.state == claimRunning {
			t.resolve(found, claimUnknown, nil)
		}
		return Result{ClaimID: found.id} // The answer stays if one was recorded.
	case found.state == claimUnknown:
		return failed(resultcode.ClaimOutcomeUnknown, "claim %d was resolved as unknown", found.id)
	case found.state == claimRunning:
		m.recordAnswer(found, c.Answer.limited())
	case !bytes.Equal(found.answer, encodeAnswer(c.Answer.limited())) && found.state == claimAnswered:
		return failed(resultcode.ClaimMismatch, "claim %d has another answer", found.id)
	}
	return Result{ClaimID: found.id}
}

func (m *Machine) recordAnswer(found *claim, answer *Answer) {
	t := &m.state.claims
	encoded := encodeAnswer(answer)
	if t.answerBytes+len(encoded) > m.opts.MaxAnswerBytes {
		answer = &Answer{Status: answer.Status, TooLarge: true}
		encoded = encodeAnswer(answer)
	}
	state := claimAnswered
	if answer.TooLarge {
		state = claimTooLarge
	}
	t.resolve(found, state, encoded)
}

func encodeAnswer(a *Answer) []byte {
	data, err := encMode.Marshal(a)
	if err != nil {
		panic(err) // Answer holds only types that always encode.
	}
	return data
}

func (m *Machine) releaseClaim(c *ReleaseClaim) Result {
	t := &m.state.claims
	found := t.byKey[c.Key]
	switch {
	case found == nil || found.id != c.ClaimID:
		return unknownClaim(c.ClaimID)
	case found.state == claimRunning:
		t.resolve(found, claimReleased, nil)
	case found.state != claimReleased:
		return failed(resultcode.ClaimOutcomeUnknown, "claim %d was resolved already", found.id)
	}
	return Result{ClaimID: found.id}
}

func unknownClaim(id uint64) Result {
	return failed(resultcode.UnknownClaim, "no claim has the id %d", id)
}
