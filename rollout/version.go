package rollout

// Version is the version of an upstream with regard to a rollout.
type Version uint8

const (
	// Old is the version that the service had before the order, and New the one that was ordered.
	Old Version = 1
	New Version = 2
)

// String returns the version's name in log lines.
func (v Version) String() string {
	switch v {
	case Old:
		return "old"
	case New:
		return "new"
	}
	return "any"
}
