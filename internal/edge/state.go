package edge

import (
	"github.com/bramleypick/bramleypick/routing"
)

// state is what requests are matched against. It is immutable.
type state struct {
	version   uint64 // of the configuration
	table     *routing.Table
	splitters map[*routing.Route]*routing.Splitter
	maxBody   int64
}
