package wal

// DefaultSegmentBytes is the size at which a new segment is started. It bounds the data that Open copies, since Open
// rewrites the last segment.
const DefaultSegmentBytes = 8 << 20

// Options configures a Log.
type Options struct {
	// SegmentBytes is the size at which a new segment is started. Zero means DefaultSegmentBytes.
	SegmentBytes int64
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	return o
}
