package upstreamconn

// NewReason is the reason why an exchange needs a new connection.
type NewReason uint8

// Reasons.
const (
	NotNew         NewReason = 0 // an idle connection was reused
	FirstUse       NewReason = 1 // the pool never had a connection
	AllBusy        NewReason = 2 // the open connections carry other exchanges
	IdleTooLong    NewReason = 3 // the idle connections were idle for longer than the exchange permits
	Expired        NewReason = 4 // the last connection was closed after IdleLimit
	ClosedByPeer   NewReason = 5 // the upstream had closed the last connection, or asked to close it
	ClosedOnError  NewReason = 6 // the last connection was closed for another reason, such as a cancelled exchange
	CarriedSameID  NewReason = 7 // the idle connections have carried a request with the same id
	NewReasonCount           = 8
)

var newReasonNames = [NewReasonCount]string{
	"not_new", "first_use", "all_busy", "idle_too_long", "expired", "closed_by_upstream", "closed_on_error", "carried_same_id",
}

// String returns the reason's name in metrics.
func (r NewReason) String() string { return newReasonNames[r] }

// Counter counts bytes. It must be safe for concurrent use.
type Counter interface{ Inc(bytes int64) }
