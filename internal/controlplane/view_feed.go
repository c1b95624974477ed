package controlplane

import (
	"context"
	"sync"

	"github.com/bramleypick/bramleypick/controlstate"
)

// viewFeed holds the latest view and wakes those who wait for a newer one.
type viewFeed struct {
	mu      sync.Mutex
	view    *controlstate.View
	changed chan struct{} // closed when view is replaced
}

func newViewFeed(view *controlstate.View) *viewFeed {
	return &viewFeed{view: view, changed: make(chan struct{})}
}

// publish replaces the view by a newer one. Callers on several goroutines may arrive out of order, so an older view is
// ignored.
func (f *viewFeed) publish(view *controlstate.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if view.Index <= f.view.Index {
		return
	}
	f.view = view
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *viewFeed) current() *controlstate.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *viewFeed) currentAndChanged() (*controlstate.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.changed
}

// awaitNewer waits for a view with a higher index and returns nil if ctx ends first.
func (f *viewFeed) awaitNewer(ctx context.Context, index uint64) *controlstate.View {
	for {
		view, changed := f.currentAndChanged()
		if view.Index > index {
			return view
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
