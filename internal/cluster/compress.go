package cluster

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// compressors reuses flate writers, since a new writer allocates 0.6 MB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	return out, errors.Wrap(err, "decompress")
}
