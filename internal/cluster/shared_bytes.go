package cluster

import "sync"

// sharedBytes keep an encoded form of the view that was sent last. Calls at the same time share it: a compressor alone takes a
// megabyte. They are safe for concurrent use.
type sharedBytes struct {
	mu    sync.Mutex
	index uint64 // of the view
	data  []byte // nil until a view was sent
}

// of returns the encoded form of the view at an index, which encode makes if it is not there. The caller does not change the bytes.
func (s *sharedBytes) of(index uint64, encode func() ([]byte, error)) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data != nil && s.index == index {
		return s.data, nil
	}
	data, err := encode()
	if err != nil {
		return nil, err
	}
	s.index, s.data = index, data
	return data, nil
}
