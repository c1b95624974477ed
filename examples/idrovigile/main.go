// Command idrovigile prints the configuration of Idrovigile Brambati, which monitors floods and basements in Lombardy.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/bramleypick/bramleypick/operator"
)

// Request priorities. If availability zones are down, downloads are shed first, then reads. Callouts are shed last, because a
// lost callout leaves a cellar flooded.
const (
	priorityDownload = 0
	priorityRead     = 10
	priorityCallout  = 100
)

func main() {
	if err := declare(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func declare(w io.Writer) error {
	builder := operator.New()
	builder.Zones("milano-nord", "bergamo", "brescia")

	// Level and battery checks are short and frequent, so a hedged attempt is cheap.
	status := builder.Service("status").MaxUpstreams(40).OverAllowance(1)
	status.Class("check").Method("GET").Idempotent().Priority(priorityRead).Timeout(2 * time.Second).HedgeAfter(50 * time.Millisecond)

	// Callouts and bookings must not be executed twice: a duplicate sends two vans to one cellar.
	dispatch := builder.Service("dispatch").MaxUpstreams(20)
	dispatch.Class("callout").Method("POST").Path("/dispatch/callouts").Priority(priorityCallout).Timeout(10 * time.Second)
	dispatch.Class("booking").Method("POST").Path("/dispatch/bookings").Priority(priorityCallout).Timeout(10 * time.Second)
	dispatch.Class("read").Method("GET").Idempotent().Priority(priorityRead).Timeout(2 * time.Second)

	// Sensor logs for insurers are long downloads.
	archive := builder.Service("archive").MaxUpstreams(12).QueueLimit(64)
	archive.Class("download").Method("GET").Idempotent().Priority(priorityDownload).Timeout(10 * time.Minute)

	// The company is the only client account.
	builder.ClientAccount("idrovigile")
	return builder.Write(w)
}
