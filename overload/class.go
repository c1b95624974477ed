package overload

import "hash/fnv"

const (
	// maxPriority is the lowest priority that is told apart; lower ones count as this one.
	maxPriority  = 255
	priorityBits = 8
	// accountBits is the length of the hash of an account's name. Two of 83 accounts collide in 1 of 5,000 configurations, and then
	// share what they get.
	accountBits = 24
)

// Class identifies the requests of one account and priority: the hash of the account's name, then 8 bits of priority. It takes at
// most 5 bytes in a message.
type Class uint32

// NewClass returns the class of the requests of an account, or of requests without an account if the name is empty.
func NewClass(priority int, account string) Class {
	return Class(accountHash(account)<<priorityBits | uint32(min(max(priority, 0), maxPriority)))
}

// accountHash returns 0 for requests without an account.
func accountHash(name string) uint32 {
	if name == "" {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32() & (1<<accountBits - 1)
}

// Priority returns the priority; 0 is the highest.
func (c Class) Priority() int { return int(c & maxPriority) }

func (c Class) account() uint32 { return uint32(c >> priorityBits) }
