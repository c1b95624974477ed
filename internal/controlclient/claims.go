package controlclient

import (
	"context"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/resultcode"
)

// Claims commits the claims of non-idempotent requests to the control group.
type Claims struct {
	client *Client
}

// NewClaims returns Claims that use the given client.
func NewClaims(client *Client) *Claims {
	return &Claims{client: client}
}

// Begin commits a claim. After an error it is unknown whether the claim was committed.
func (c *Claims) Begin(ctx context.Context, begin controlstate.BeginClaim) (controlstate.Result, error) {
	return c.client.Submit(ctx, controlstate.Command{Kind: controlstate.KindBeginClaim, BeginClaim: &begin})
}

// Finish records the response of a claimed request, or that its outcome is unknown.
func (c *Claims) Finish(ctx context.Context, finish controlstate.FinishClaim) error {
	return c.submit(ctx, controlstate.Command{Kind: controlstate.KindFinishClaim, FinishClaim: &finish})
}

// Release releases a claim whose request was not started.
func (c *Claims) Release(ctx context.Context, release controlstate.ReleaseClaim) error {
	return c.submit(ctx, controlstate.Command{Kind: controlstate.KindReleaseClaim, ReleaseClaim: &release})
}

func (c *Claims) submit(ctx context.Context, command controlstate.Command) error {
	result, err := c.client.Submit(ctx, command)
	if err != nil {
		return err
	}
	if result.Code != resultcode.OK {
		return &resultcode.Error{Code: result.Code, Message: result.Message}
	}
	return nil
}
