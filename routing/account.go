package routing

import (
	"crypto/sha256"
)

// Account is a client account. Its requests carry one of its keys.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// KeyDigests are the digests of the account's keys; see KeyDigest. The keys themselves are only in Source.
	KeyDigests [][]byte `cbor:"2,keyasint,omitempty"`
	// Priority replaces the priority of the route for requests of the account; 0 is the highest. Nil keeps the route's.
	Priority *int `cbor:"3,keyasint,omitempty"`
	// RequestsPerSecond limits the requests of the account over all gateways together. Zero means no limit.
	RequestsPerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Burst is the number of requests that the account may send at once in addition.
	Burst float64 `cbor:"5,keyasint,omitempty"`
	// Source is the operator's original text of the account; see Route.Source. It contains the keys and is kept by control
	// replicas only.
	Source []byte `cbor:"6,keyasint,omitempty"`
}

// KeyDigest returns the digest by which the key of an account is stored and looked up. The time of a lookup by digest depends
// on the digest, from which the stored keys cannot be guessed.
func KeyDigest(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// AccountIndex finds accounts by key. It is immutable.
type AccountIndex struct {
	byDigest map[[sha256.Size]byte]*Account
}

// NewAccountIndex returns the index of the accounts of a valid configuration, which must not be modified afterwards.
func NewAccountIndex(c *Config) *AccountIndex {
	index := &AccountIndex{byDigest: make(map[[sha256.Size]byte]*Account)}
	for i := range c.Accounts {
		for _, digest := range c.Accounts[i].KeyDigests {
			index.byDigest[[sha256.Size]byte(digest)] = &c.Accounts[i]
		}
	}
	return index
}

// Find returns the account that has the key, or nil.
func (x *AccountIndex) Find(key string) *Account { return x.byDigest[sha256.Sum256([]byte(key))] }
