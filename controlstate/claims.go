package controlstate

import (
	"bytes"
	"unique"

	"github.com/bramleypick/bramleypick/dynconfig"
	"github.com/bramleypick/bramleypick/resultcode"
)

func (m *Machine) beginClaim(c *BeginClaim) Result {
	s := &m.state
	if message := c.invalidReason(); message != "" {
		return failure(resultcode.MalformedRequest, "%s", message)
	}
	found := s.claims.byKey[c.Key]
	u := s.upstreams.byID[c.UpstreamID]
	switch {
	case !s.sessions.exists(c.SessionID):
		return unknownSession(c.SessionID)
	case u == nil:
		return withClaimID(found, c, unknownUpstream(c.UpstreamID))
	case u.Owner != c.SessionID || u.Epoch != c.Epoch:
		return withClaimID(found, c, staleEpoch(u))
	case c.KeyUnixMilli > s.now+ClockToleranceMillis:
		return failure(resultcode.MalformedRequest, "the key's time is more than 5 minutes in the future")
	case c.KeyUnixMilli != 0 && c.KeyUnixMilli+c.HorizonMillis < s.now:
		return failure(resultcode.ClaimExpired, "the key's time is more than %d ms ago", c.HorizonMillis)
	case found == nil && s.mayHaveExpired(c):
		return failure(resultcode.ClaimExpired, "a claim of this key may have been dropped before the service's horizon was raised")
	case found == nil:
		return m.addClaim(c)
	case found.state == claimReleased:
		return m.grantReleased(found, c)
	case found.digest != string(c.RequestDigest):
		return failure(resultcode.ClaimMismatch, "the idempotency key was used for a different request")
	}
	s.claims.extend(found, c)
	return found.resultFor(c)
}

// withClaimID adds the claim's id to a rejection if the same attempt already holds the claim. The session may have lost the
// result of its first command, and needs the id to release the claim. The claim is not released here, because the session
// may have received that result and sent the request.
func withClaimID(found *claim, c *BeginClaim, rejection Result) Result {
	if found != nil && found.state == claimRunning && found.session == c.SessionID && found.attemptID == c.AttemptID {
		rejection.ClaimID = found.id
	}
	return rejection
}

func (m *Machine) addClaim(c *BeginClaim) Result {
	t := &m.state.claims
	if len(t.byKey) >= m.opts.MaxClaims {
		return failure(resultcode.ControlUnavailable, "there are %d claims, the most allowed", len(t.byKey))
	}
	t.add(m.newClaim(c))
	return Result{ClaimID: m.state.index}
}

// grantReleased grants a released claim again. No request ran under it, so the new request may differ from the old one.
func (m *Machine) grantReleased(found *claim, c *BeginClaim) Result {
	if found.attemptID == c.AttemptID {
		return failure(resultcode.UnknownClaim, "this attempt released its claim")
	}
	granted := m.newClaim(c)
	granted.heapIndex = found.heapIndex
	*found = *granted
	m.state.claims.grant(found)
	return Result{ClaimID: found.id}
}

func (m *Machine) newClaim(c *BeginClaim) *claim {
	key := c.Key
	key.Service = unique.Make(key.Service).Value()
	key.ClientAccount = unique.Make(key.ClientAccount).Value()
	created := c.KeyUnixMilli
	if created == 0 {
		created = m.state.now
	}
	return &claim{
		key: key, id: m.state.index, session: c.SessionID, attemptID: c.AttemptID, digest: string(c.RequestDigest),
		createdUnixMilli: created, horizonMillis: m.state.horizonOf(c), state: claimRunning, heapIndex: -1,
	}
}

// resultFor returns the result of a BeginClaim for a key that is already claimed.
func (c *claim) resultFor(begin *BeginClaim) Result {
	switch c.state {
	case claimRunning:
		if c.session == begin.SessionID && c.attemptID == begin.AttemptID {
			return Result{ClaimID: c.id}
		}
		return failure(resultcode.ClaimRunning, "a request with this idempotency key is running")
	case claimOutcomeUnknown:
		return failure(resultcode.ClaimOutcomeUnknown, "a request with this idempotency key was sent; its outcome is not known")
	}
	var recorded RecordedResponse
	if err := decMode.Unmarshal(c.response, &recorded); err != nil {
		panic(err) // The machine encoded it, or checked it in Restore.
	}
	if c.state == claimResponseTooLarge {
		r := failure(resultcode.ResponseNotRecorded, "the request ran, but its answer was too large to record")
		r.RecordedResponse = &recorded
		return r
	}
	return Result{RecordedResponse: &recorded}
}

// invalidReason returns why the command is invalid, or "".
func (c *BeginClaim) invalidReason() string {
	switch {
	case !lengthWithin(c.Key.Service, 1, dynconfig.MaxNameBytes), !lengthWithin(c.Key.ClientAccount, 0, dynconfig.MaxNameBytes):
		return "the service or tenant of the key is empty or too long"
	case !lengthWithin(c.Key.Key, 1, maxKeyBytes):
		return "the idempotency key must have 1 to 256 bytes"
	case len(c.RequestDigest) < 1 || len(c.RequestDigest) > maxDigestBytes:
		return "the request digest must have 1 to 64 bytes"
	case !lengthWithin(c.AttemptID, 1, maxIDBytes):
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
	case c.Response != nil && (c.Response.Status < 100 || c.Response.Status > 999):
		return failure(resultcode.MalformedCommand, "the answer has the status %d", c.Response.Status)
	case c.Response == nil:
		if found.state == claimRunning {
			t.resolve(found, claimOutcomeUnknown, nil)
		}
		return Result{ClaimID: found.id} // A response that was recorded is kept.
	case found.state == claimOutcomeUnknown:
		return failure(resultcode.ClaimOutcomeUnknown, "claim %d was resolved as unknown", found.id)
	case found.state == claimRunning:
		m.recordResponse(found, c.Response.withinLimits())
	case !bytes.Equal(found.response, encodeResponse(c.Response.withinLimits())) && found.state == claimCompleted:
		return failure(resultcode.ClaimMismatch, "claim %d has another answer", found.id)
	}
	return Result{ClaimID: found.id}
}

func (m *Machine) recordResponse(found *claim, response *RecordedResponse) {
	t := &m.state.claims
	encoded := encodeResponse(response)
	if t.responseBytes+len(encoded) > m.opts.MaxResponseBytes {
		response = &RecordedResponse{Status: response.Status, TooLarge: true}
		encoded = encodeResponse(response)
	}
	state := claimCompleted
	if response.TooLarge {
		state = claimResponseTooLarge
	}
	t.resolve(found, state, encoded)
}

func encodeResponse(r *RecordedResponse) []byte {
	data, err := encMode.Marshal(r)
	if err != nil {
		panic(err) // RecordedResponse has only types that always encode.
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
		return failure(resultcode.ClaimOutcomeUnknown, "claim %d was resolved already", found.id)
	}
	return Result{ClaimID: found.id}
}

func unknownClaim(id uint64) Result {
	return failure(resultcode.UnknownClaim, "no claim has the id %d", id)
}
