package controlstate

// claimState is the state of a claimed request.
type claimState uint8

const (
	claimRunning          claimState = iota + 1
	claimOutcomeUnknown              // The request may have run.
	claimCompleted                   // The request ran; response is set.
	claimResponseTooLarge            // The request ran; only the status of its response was recorded.
	// claimReleased claims can be granted again. They are kept so that a delayed duplicate of the BeginClaim that was
	// released is not granted a second time: no gateway would finish that claim.
	claimReleased
)

// claim is the record of one idempotency key. The service and client account of the key are interned, because many claims
// share them.
type claim struct {
	key              ClaimKey
	id               uint64
	session          uint64
	attemptID        string
	digest           string
	createdUnixMilli int64 // Creation time of the key, or of the claim if the key has none, in ms since the Unix epoch.
	horizonMillis    int64 // In ms.
	state            claimState
	response         []byte // Encoded RecordedResponse.
	heapIndex        int    // In claimTable.expiry, or -1.
}

func (c *claim) expires() int64 {
	return c.createdUnixMilli + c.horizonMillis + ClockToleranceMillis
}

// expiryHeap orders claims by expiry; it implements heap.Interface.
type expiryHeap []*claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires() < h[j].expires() }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a *claim.
func (h *expiryHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop removes the last claim.
func (h *expiryHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.heapIndex = -1
	return c
}
