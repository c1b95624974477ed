package controlstate

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxNesting limits the nested maps and lists of an encoded value. The deepest values, the headers of a response in a command
// and the losses of a fingerprint in a snapshot, have 5 levels; 3 levels are spare.
const maxNesting = 8

// maxElements limits each list and each map of a command or result, and each map of a snapshot. It is above
// MaxResponseHeaderValues, the limit on the header of a recorded response.
const maxElements = 1024

// maxSnapshotElements bounds each list of a snapshot.
const maxSnapshotElements = 1 << 26

var (
	encMode         = newEncMode()
	decMode         = newDecMode(maxElements)
	snapshotDecMode = newDecMode(maxSnapshotElements)
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

func newDecMode(maxArrayElements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxElements,
		// Newer replicas would apply a field that this replica does not know, so an unknown field is an error.
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		// HTTP header values may hold bytes that are not UTF-8.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// EncodeCommand returns the encoding of a command. A response above the limits is encoded as too large, so that its claim is
// still resolved. It fails if the command is larger than MaxCommandBytes or does not have exactly the field that Kind names.
func EncodeCommand(c Command) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if f := c.FinishClaim; f != nil && f.Response != nil {
		c.FinishClaim = &FinishClaim{Key: f.Key, ClaimID: f.ClaimID, Response: f.Response.withinLimits()}
	}
	data, err := encMode.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode a command")
	}
	if len(data) > MaxCommandBytes {
		return nil, errors.Errorf("the command has %d bytes, more than %d", len(data), MaxCommandBytes)
	}
	return data, nil
}

// DecodeCommand decodes a command. The size and the nesting depth of data are limited.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if len(data) > MaxCommandBytes {
		return c, errors.Errorf("the command has %d bytes, more than %d", len(data), MaxCommandBytes)
	}
	if err := decMode.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrap(err, "decode a command")
	}
	if err := c.check(); err != nil {
		return Command{}, err
	}
	return c, nil
}

// EncodeResult returns the encoding of a result.
func EncodeResult(r Result) ([]byte, error) {
	data, err := encMode.Marshal(r)
	return data, errors.Wrap(err, "encode result")
}

// DecodeResult decodes a result. The size and the nesting depth of data are limited.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if len(data) > MaxCommandBytes {
		return r, errors.Errorf("result of %d bytes exceeds the limit of %d", len(data), MaxCommandBytes)
	}
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Result{}, errors.Wrap(err, "decode result")
	}
	return r, nil
}
