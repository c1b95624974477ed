package routing

// Kind is the kind of requests of a route. It determines whether a request may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = 1
	// NonIdempotent requests run at most once per request id.
	NonIdempotent Kind = 2
	// Download requests are idempotent and have long responses.
	Download Kind = 3
	// Upload requests run at most once per request id and have long bodies.
	Upload Kind = 4
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Large reports whether requests have long bodies or responses, which should not cross zones unnecessarily.
func (k Kind) Large() bool { return k == Download || k == Upload }

func (k Kind) valid() bool { return k >= Idempotent && k <= Upload }
