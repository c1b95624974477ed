package settings

// Default values of the fields of Settings.
const (
	DefaultLogLevel              = "info"
	DefaultSessionTTLMillis      = 3000
	DefaultRenewIntervalMillis   = 400
	DefaultMaxHeaderBytes        = 64 << 10
	DefaultMaxCallerConnections  = 10000
	DefaultShutdownTimeoutMillis = 600000
)

// WithDefaults returns a copy of s in which every zero field that has a default is set to it.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Log.Level, DefaultLogLevel)
	setDefault(&s.SessionTTLMillis, DefaultSessionTTLMillis)
	setDefault(&s.RenewIntervalMillis, DefaultRenewIntervalMillis)
	setDefault(&s.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.Limits.MaxCallerConnections, DefaultMaxCallerConnections)
	setDefault(&s.Limits.ShutdownTimeoutMillis, DefaultShutdownTimeoutMillis)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
