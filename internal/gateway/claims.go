package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/admission"
	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

const (
	// claimCommandTimeout bounds one command to the control group before it is sent again. claimRetryDelay is the
	// first delay between two sends; it doubles up to claimCommandTimeout.
	claimCommandTimeout = time.Second
	claimRetryDelay     = 20 * time.Millisecond
	// claimConfirmTimeout is how long a caller waits for the confirmation of Finish or Release. After it the command
	// is retried in the background for claimBackgroundTimeout.
	claimConfirmTimeout    = 2 * time.Second
	claimBackgroundTimeout = 30 * time.Second
)

// runOnce runs one attempt of a request that must not run twice: connect, claim, send, in this order.
func (g *Gateway) runOnce(c *call, a *attempt) {
	defer a.endOnPanic()
	conn := a.connect(true)
	if conn == nil {
		return
	}
	if !a.checkStart() {
		conn.Release()
		return
	}
	if !g.beginClaim(c, a) {
		conn.Release()
		a.end(admission.NotSent)
		return
	}
	if !a.checkStart() {
		conn.Release()
		g.releaseClaim(c, a)
		return
	}
	a.detach()
	a.exchange(conn)
	switch {
	case a.err == nil:
	case !a.sent || a.refused:
		g.releaseClaim(c, a)
	default:
		g.finishClaim(c, a, nil)
	}
}

// beginClaim commits the claim. It returns false with a.err or a.replay set if the request must not be sent.
func (g *Gateway) beginClaim(c *call, a *attempt) bool {
	command := controlstate.BeginClaim{
		Key: c.claim.key, SessionID: g.deps.Lease.SessionID(), UpstreamID: a.assignment.UpstreamID,
		Epoch: a.assignment.Epoch, RequestDigest: c.claim.digest, KeyUnixMilli: c.claim.keyUnixMilli,
		HorizonMillis: c.class.KeyHorizonMillis, AttemptID: rand.Text(),
	}
	result, err := g.retryBegin(a.ctx, command)
	if err != nil {
		g.releaseUnconfirmed(command)
		a.err = resultcode.Errorf(resultcode.ControlUnavailable, "the claim could not be confirmed, and nothing was sent; resend the request with the same key")
		return false
	}
	switch result.Code {
	case resultcode.OK:
	case resultcode.StaleEpoch, resultcode.UnknownUpstream:
		a.failNotSendable()
		if a.claimID = result.ClaimID; a.claimID != 0 {
			g.releaseClaim(c, a) // An earlier send of this command was granted, but its result was lost.
		}
		return false
	case resultcode.UnknownSession:
		a.err = leaseLostError()
		return false
	default:
		a.err = resultcode.Errorf(result.Code, "%s", result.Message)
		return false
	}
	if recorded := result.RecordedResponse; recorded != nil && (recorded.Status < http.StatusOK || recorded.Status > maxStatus) {
		// Earlier versions recorded a status of 600 to 999.
		a.err = resultcode.Errorf(resultcode.ClaimOutcomeUnknown, "the request was sent; its recorded response has no valid status")
		return false
	}
	if result.RecordedResponse != nil {
		a.replay = &replay{response: result.RecordedResponse}
		if result.RecordedResponse.TooLarge {
			a.err = resultcode.Errorf(resultcode.ResponseNotRecorded, "the request ran with status %d; its response was too large to record", result.RecordedResponse.Status)
		}
		return false
	}
	a.claimID = result.ClaimID
	return true
}

// retryBegin sends the same Begin command until its result is known or ctx ends.
func (g *Gateway) retryBegin(ctx context.Context, command controlstate.BeginClaim) (controlstate.Result, error) {
	var result controlstate.Result
	err := retryCommand(ctx, func(ctx context.Context) (err error) {
		result, err = g.deps.Claims.Begin(ctx, command)
		return err
	})
	return result, err
}

// releaseUnconfirmed determines the result of a Begin command whose result is not known, and releases the claim if it
// was granted. Nothing was sent under the claim, and a resend by the caller would find it running.
func (g *Gateway) releaseUnconfirmed(command controlstate.BeginClaim) {
	g.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimBackgroundTimeout)
		defer cancel()
		result, err := g.retryBegin(ctx, command)
		if err != nil || result.ClaimID == 0 || result.RecordedResponse != nil {
			return
		}
		_ = retryCommand(ctx, func(ctx context.Context) error {
			return g.deps.Claims.Release(ctx, controlstate.ReleaseClaim{Key: command.Key, ClaimID: result.ClaimID})
		})
	})
}

// releaseClaim releases a claim under which nothing ran. Only a confirmed release permits another attempt, which would
// otherwise find its own claim running.
func (g *Gateway) releaseClaim(c *call, a *attempt) {
	command := controlstate.ReleaseClaim{Key: c.claim.key, ClaimID: a.claimID}
	confirmed := g.sendUntilConfirmed(c, func(ctx context.Context) error { return g.deps.Claims.Release(ctx, command) })
	a.retryUnsent = a.retryUnsent && confirmed
}

// finishClaim records the response. A nil response records that the outcome is unknown.
func (g *Gateway) finishClaim(c *call, a *attempt, response *controlstate.RecordedResponse) {
	command := controlstate.FinishClaim{Key: c.claim.key, ClaimID: a.claimID, Response: response}
	if !g.sendUntilConfirmed(c, func(ctx context.Context) error { return g.deps.Claims.Finish(ctx, command) }) {
		g.metrics.increment(c.serviceView.config.Name, "unconfirmed_finishes")
		g.log.Warn("control group has not confirmed the end of a claim", zap.String("request", c.requestID),
			zap.String("service", c.serviceView.config.Name))
	}
}

// sendUntilConfirmed sends a command until it is confirmed or rejected. After claimConfirmTimeout it returns false and
// retries in the background.
func (g *Gateway) sendUntilConfirmed(c *call, command func(context.Context) error) bool {
	// The claim must be ended even if the caller has disconnected or the deadline has passed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), claimConfirmTimeout)
	defer cancel()
	if err := retryCommand(ctx, command); err == nil || isPermanent(err) {
		return err == nil
	}
	g.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimBackgroundTimeout)
		defer cancel()
		if err := retryCommand(ctx, command); err != nil {
			g.log.Warn("could not end a claim; it ends with the session", zap.String("request", c.requestID),
				zap.String("service", c.serviceView.config.Name), zap.Error(err))
		}
	})
	return false
}

// isPermanent reports whether the control group rejected a command for a reason that a retry does not change.
func isPermanent(err error) bool {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code {
	case resultcode.UnknownClaim, resultcode.ClaimOutcomeUnknown, resultcode.ClaimMismatch, resultcode.MalformedRequest:
		return true
	}
	return false
}

// retryCommand calls f until it succeeds, fails permanently, or ctx ends.
func retryCommand(ctx context.Context, f func(context.Context) error) error {
	for delay := claimRetryDelay; ; delay = min(2*delay, claimCommandTimeout) {
		commandCtx, cancel := context.WithTimeout(ctx, claimCommandTimeout)
		err := f(commandCtx)
		cancel()
		if err == nil || isPermanent(err) {
			return err
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}
