package balancing

// Load is what an upstream says about its load.
type Load struct {
	Running, Waiting int
	// Slots is how many requests it runs at once; zero means unknown.
	Slots int
	// Pace is how long work takes now, relative to usual: 7 means seven times as long. Zero means unknown.
	Pace float64
}
