package bodybuffer

import "sync/atomic"

// Body is a request body that was read completely. Its readers may be used concurrently with each other. A nil Body is empty.
type Body struct {
	pool      *Pool // nil if the segments are not used again
	segments  [][]byte
	length    int64
	users     atomic.Int32 // the owner and the open readers
	onRelease func()
}

// Of returns a body with the given content, which need not be released.
func Of(data []byte) *Body {
	return newBody(nil, [][]byte{data}, int64(len(data)))
}

func newBody(pool *Pool, segments [][]byte, length int64) *Body {
	b := &Body{pool: pool, segments: segments, length: length}
	b.users.Store(1)
	return b
}

// Len returns the length in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Small returns the content of a body of at most limit bytes, which must not be changed, and nil for others. The limit must be at
// most SmallBytes.
func (b *Body) Small(limit int64) []byte {
	if b.Len() == 0 || b.length > limit {
		return nil
	}
	return b.segments[0]
}

// OnRelease sets the function that is called once the body has been released and all its readers are closed. It must be called before
// both.
func (b *Body) OnRelease(f func()) { b.onRelease = f }

// Release ends the use of the body by its owner. It must be called once. Open readers can still be read, new ones cannot.
func (b *Body) Release() {
	if b != nil {
		b.leave()
	}
}

// NewReader returns a reader of the whole body, which must be closed. Reading fails if the body was released before the call.
func (b *Body) NewReader() *Reader {
	for {
		n := b.users.Load()
		if n == 0 {
			return &Reader{err: errReleased}
		}
		if b.users.CompareAndSwap(n, n+1) {
			return &Reader{body: b}
		}
	}
}

func (b *Body) leave() {
	if b.users.Add(-1) > 0 {
		return
	}
	if b.pool != nil {
		b.pool.put(b.segments)
		b.segments = nil
	}
	if b.onRelease != nil {
		b.onRelease()
	}
}
