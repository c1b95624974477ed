package resultcode

import "net/http"

// Info describes a code.
type Info struct {
	// Name is the code's stable name in snake case.
	Name string
	// NotRun is true if the request or change certainly did not take effect.
	NotRun bool
	// HTTPStatus is the status of the HTTP response that carries the code.
	HTTPStatus int
	// Meaning is a one-sentence description for operators.
	Meaning string
}

var infos = map[Code]Info{
	OK:                     {"ok", false, http.StatusOK, "Success."},
	UnknownService:         {"unknown_service", true, http.StatusNotFound, "The configuration has no service with this name."},
	UnknownClass:           {"unknown_class", true, http.StatusNotFound, "No class of the service matches the method and path."},
	UnknownClientAccount:   {"unknown_tenant", true, http.StatusForbidden, "The configuration has no tenant with this name."},
	MalformedRequest:       {"malformed_request", true, http.StatusBadRequest, "A header of the request is missing or malformed."},
	RequestTooLarge:        {"request_too_large", true, http.StatusRequestEntityTooLarge, "The request body exceeds the limit of its class."},
	IdempotencyKeyRequired: {"idempotency_key_required", true, http.StatusBadRequest, "The class is not idempotent and the request has no Idempotency-Key or no Bramleypick-Key-Time."},
	DeadlineBeforeStart:    {"deadline_before_start", true, http.StatusGatewayTimeout, "The deadline passed while the request was queued."},
	QueueFull:              {"queue_full", true, http.StatusServiceUnavailable, "The queue of the service is full."},
	ShedByPriority:         {"shed_by_priority", true, http.StatusServiceUnavailable, "A request of a higher priority took the place in the queue."},
	NoUpstream:             {"no_upstream", true, http.StatusServiceUnavailable, "No upstream of the service can take work now."},
	LeaseLost:              {"lease_lost", true, http.StatusServiceUnavailable, "The gateway has no valid session lease and starts no work."},
	UpstreamRefused:        {"upstream_refused", true, http.StatusServiceUnavailable, "The upstream stated that it did not start the request."},
	FingerprintBlocked:     {"fingerprint_blocked", true, http.StatusUnprocessableEntity, "Requests like this one crashed upstreams and are refused for a time."},
	ShuttingDown:           {"shutting_down", true, http.StatusServiceUnavailable, "The gateway is shutting down."},
	ControlUnavailable:     {"control_unavailable", true, http.StatusServiceUnavailable, "The claim could not be committed, and nothing was sent."},
	ClientAccountLimit:     {"tenant_limit", true, http.StatusTooManyRequests, "The tenant has as many requests waiting as it may have."},
	UnknownRoute:           {"unknown_route", true, http.StatusNotFound, "No route matches the host and path."},
	RequestLimitReached:    {"request_limit_reached", true, http.StatusServiceUnavailable, "The upstreams of the service have reached the request limits that they named."},
	UpstreamsPaused:        {"upstreams_paused", true, http.StatusServiceUnavailable, "The upstreams of the service have asked this gateway for a pause."},
	UnknownKey:             {"unknown_key", true, http.StatusUnauthorized, "The request has no key of a client account."},
	QuotaExceeded:          {"quota_exceeded", true, http.StatusTooManyRequests, "The client account has used its rate and burst over all gateways."},
	ClientResources:        {"client_resources", true, http.StatusServiceUnavailable, "The memory or the connections that clients may use are used up, other bodies took too long to be decoded, or too many upstreams are known."},

	OutcomeUnknown:        {"outcome_unknown", false, http.StatusBadGateway, "The upstream failed after it may have started the request."},
	ClaimRunning:          {"claim_running", false, http.StatusConflict, "A request with this idempotency key is running."},
	ClaimOutcomeUnknown:   {"claim_outcome_unknown", false, http.StatusConflict, "A request with this idempotency key was sent; its outcome is not known."},
	ClaimExpired:          {"claim_expired", false, http.StatusGone, "The idempotency key is older than the horizon; it may have been used."},
	ClaimMismatch:         {"claim_mismatch", false, http.StatusUnprocessableEntity, "The idempotency key was used for a different request."},
	DeadlineAfterStart:    {"deadline_after_start", false, http.StatusGatewayTimeout, "The deadline passed after the request was sent."},
	BrokenResponse:        {"broken_response", false, http.StatusBadGateway, "The answer was malformed, incomplete, or belonged to another request."},
	ResponseNotRecorded:   {"response_not_recorded", false, http.StatusConflict, "The request ran, but its answer was too large to record."},
	UpstreamConnectionCut: {"upstream_connection_cut", false, http.StatusBadGateway, "The connection to the upstream was lost after the request was sent."},

	VersionConflict:       {"version_conflict", true, http.StatusConflict, "The base version is not the current version."},
	InvalidConfiguration:  {"invalid_configuration", true, http.StatusUnprocessableEntity, "The configuration is invalid; the message lists every fault."},
	NotLeader:             {"not_leader", true, http.StatusServiceUnavailable, "The replica is not the leader."},
	NoQuorum:              {"no_quorum", true, http.StatusServiceUnavailable, "No majority of the control group can be reached."},
	ChangeOutcomeUnknown:  {"change_outcome_unknown", false, http.StatusGatewayTimeout, "The change may or may not be accepted; resend it with the same change id."},
	Unauthorized:          {"unauthorized", true, http.StatusUnauthorized, "The operator credential is missing or wrong."},
	BodyTooLarge:          {"body_too_large", true, http.StatusRequestEntityTooLarge, "The body exceeds its limit."},
	MalformedBody:         {"malformed_body", true, http.StatusBadRequest, "The body cannot be decoded."},
	UpstreamAddressInUse:  {"upstream_address_in_use", true, http.StatusConflict, "The id or the address belongs to another upstream."},
	UpstreamSourceAddress: {"upstream_source_address", true, http.StatusForbidden, "The announcement did not come from the announced IP address."},
	UpstreamLimit:         {"upstream_limit", true, http.StatusTooManyRequests, "The service has as many upstreams as it may have."},
	UnknownUpstream:       {"unknown_upstream", true, http.StatusNotFound, "No upstream has this id."},
	UnknownZone:           {"unknown_zone", true, http.StatusNotFound, "The configuration has no availability zone with this name."},
	StaleEpoch:            {"stale_epoch", true, http.StatusConflict, "The assignment changed since the command was made."},
	UnknownSession:        {"unknown_session", true, http.StatusConflict, "The session expired or was never opened."},
	UnknownClaim:          {"unknown_claim", true, http.StatusNotFound, "No claim has this id."},
	MalformedCommand:      {"malformed_command", true, http.StatusBadRequest, "The command of the replicated log cannot be decoded."},
	ChangeIDReused:        {"change_id_reused", true, http.StatusConflict, "The change id was used for a different change."},
	RolloutInProgress:     {"rollout_in_progress", true, http.StatusConflict, "Another rollout of the service is in progress."},
}

// Info returns the description of c. It returns false if c is not a defined code.
func (c Code) Info() (Info, bool) {
	i, ok := infos[c]
	return i, ok
}

// String returns the code's name, or "unknown_code".
func (c Code) String() string {
	if i, ok := infos[c]; ok {
		return i.Name
	}
	return "unknown_code"
}

// All returns every code in no particular order.
func All() []Code {
	all := make([]Code, 0, len(infos))
	for c := range infos {
		all = append(all, c)
	}
	return all
}
