package wal

// DefaultSegmentBytes is the size from which a segment is followed by a new one. It bounds what Open copies, since Open
// rewrites the last segment.
const DefaultSegmentBytes = 8 << 20

// Options configures a Log.
type Options struct {
	SegmentBytes int64 // default DefaultSegmentBytes; zero means the default
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	return o
}
