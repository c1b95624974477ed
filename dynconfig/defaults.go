package dynconfig

// Default values of the fields of Service, Class and ClientAccount.
const (
	DefaultGatewaysPerZone     = 2
	DefaultMaxUpstreams        = 200
	DefaultQueueLimit          = 256
	DefaultColdSlots           = 1
	DefaultProbesPerSecond     = 1.0
	DefaultProbeBytesPerSecond = 1024
	DefaultRetryPercent        = 10
	DefaultAddressTTLMillis    = 2000
	DefaultTimeoutMillis       = 10_000
	DefaultMaxBodyBytes        = 1 << 20
	DefaultKeyHorizonMillis    = 24 * 60 * 60 * 1000
	DefaultClientAccountWeight = 1
)

// WithDefaults returns a copy of s in which every zero field that has a default is set to it, also in its classes.
func (s Service) WithDefaults() Service {
	setDefault(&s.GatewaysPerZone, DefaultGatewaysPerZone)
	setDefault(&s.Policy, PolicyOwner)
	setDefault(&s.MaxUpstreams, DefaultMaxUpstreams)
	setDefault(&s.QueueLimit, DefaultQueueLimit)
	setDefault(&s.ColdSlots, DefaultColdSlots)
	setDefault(&s.ProbesPerSecond, DefaultProbesPerSecond)
	setDefault(&s.ProbeBytesPerSecond, DefaultProbeBytesPerSecond)
	setDefault(&s.RetryPercent, DefaultRetryPercent)
	setDefault(&s.AddressTTLMillis, DefaultAddressTTLMillis)
	classes := make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.WithDefaults()
	}
	s.Classes = classes
	return s
}

// WithDefaults returns a copy of c in which every zero field that has a default is set to it.
func (c Class) WithDefaults() Class {
	setDefault(&c.TimeoutMillis, DefaultTimeoutMillis)
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.KeyHorizonMillis, DefaultKeyHorizonMillis)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
