package dynconfig

// MaxNameBytes limits the names of zones, services, classes and client accounts, and the ids of upstreams.
const MaxNameBytes = 64

const allowedName = "1 to 64 of the characters A-Z a-z 0-9 . _ -, starting with a letter or digit"

// ValidName reports whether name can be used unescaped in a URL path segment, a header, a log line and a metric name. A
// valid name starts with a letter or digit, so that no service can use the reserved path segment .bramleypick.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || !alphanumeric(name[0]) {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !alphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
