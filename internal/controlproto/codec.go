package controlproto

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Bounds of the decoder, so that a malformed message cannot make it allocate without limit.
const (
	maxNesting  = 16
	maxElements = 1 << 20
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// A recorded response's header values may hold bytes that are not UTF-8.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a message of this package.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode message")
}

// Decode decodes a message of this package.
func Decode(data []byte, message any) error {
	return errors.Wrap(decMode.Unmarshal(data, message), "decode message")
}
