// Command magnolia prints the configuration of Magnolia Loop Software, which manages equipment loans for clinics and
// churches.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/bramleypick/bramleypick/operator"
)

// Request priorities. Check-ins are shed last, because a lost one bills a family for crutches that it has returned.
const (
	priorityDownload = 0
	priorityLookup   = 10
	priorityCheckIn  = 100
)

func main() {
	if err := declare(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func declare(w io.Writer) error {
	builder := operator.New()
	builder.Zones("jackson", "mobile", "shreveport")

	// The tail latency of lookups matters most. The hedge delay is about the latency between availability zones plus the
	// service time.
	lookup := builder.Service("lookup").MaxUpstreams(40).OverAllowance(1)
	lookup.Class("item").Method("GET").Idempotent().Priority(priorityLookup).Timeout(2 * time.Second).HedgeAfter(60 * time.Millisecond)

	// A check-in that is executed twice makes the stock count wrong.
	intake := builder.Service("intake").MaxUpstreams(26)
	intake.Class("check-in").Method("POST").Path("/intake/check-ins").Priority(priorityCheckIn).Timeout(15 * time.Second)
	intake.Class("read").Method("GET").Idempotent().Priority(priorityLookup).Timeout(2 * time.Second)

	// Monthly inventory sheets are long downloads.
	sheets := builder.Service("sheets").MaxUpstreams(12).QueueLimit(64)
	sheets.Class("download").Method("GET").Idempotent().Priority(priorityDownload).Timeout(10 * time.Minute)

	builder.ClientAccount("clinic-jackson").ClientAccount("clinic-mobile").ClientAccount("clinic-shreveport")
	builder.ClientAccount("church-gulf").ClientAccount("church-delta")
	// The hospital has as many loans as two clinics.
	builder.ClientAccountWithWeight("hospital-pines", 2)
	return builder.Write(w)
}
