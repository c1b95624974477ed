package crashguard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxHashedBody is the size in bytes up to which a body is part of the fingerprint. Larger bodies rarely repeat
// exactly.
const MaxHashedBody = 4 << 10

// Fingerprint returns a hash that identifies requests likely to behave alike: of service, method, path and, if it is
// not larger than MaxHashedBody, the body.
func Fingerprint(service, method, path string, body []byte) string {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if len(body) <= MaxHashedBody {
		_, _ = d.Write(body)
	}
	const hexDigits = 16
	sum := strconv.FormatUint(d.Sum64(), 16)
	for len(sum) < hexDigits {
		sum = "0" + sum
	}
	return sum
}
