package controlproto

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Bounds of the decoder, so that a malformed message cannot make it allocate without limit.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 20
)

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
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
	return errors.Wrap(decodeMode.Unmarshal(data, message), "decode message")
}
