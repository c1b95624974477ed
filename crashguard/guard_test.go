package crashguard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/crashguard"
)

// loss drives a guard through the loss of one upstream.
type loss struct {
	g   *crashguard.Guard
	now time.Time
}

func (l *loss) start(upstream, fingerprint string) uint64 {
	l.now = l.now.Add(time.Millisecond)
	return l.g.Start(upstream, "boot-1", fingerprint, l.now)
}

// Guards against blaming bystanders, and against missing the request that crashed an upstream.
func TestSuspicion(t *testing.T) {
	sole := &crashguard.Suspect{Fingerprint: "bad", UpstreamID: "u", BootID: "boot-1", Sole: true}
	recent := &crashguard.Suspect{Fingerprint: "bad", UpstreamID: "u", BootID: "boot-1"}
	rows := []struct {
		description string
		run         func(*loss) *crashguard.Suspect
		suspect     *crashguard.Suspect
	}{
		{"sole request, connections refused", func(l *loss) *crashguard.Suspect {
			l.g.Cut("u", l.start("u", "bad"), l.now)
			return l.g.Refused("u", l.now)
		}, sole},
		{"sole request, new boot id", func(l *loss) *crashguard.Suspect {
			l.g.Cut("u", l.start("u", "bad"), l.now)
			return l.g.Boot("u", "boot-2", l.now)
		}, sole},
		{"refusal seen just before the cut", func(l *loss) *crashguard.Suspect {
			id := l.start("u", "bad")
			l.g.Refused("u", l.now)
			return l.g.Cut("u", id, l.now)
		}, sole},
		{"most recent of three, whichever cut is seen first", func(l *loss) *crashguard.Suspect {
			first := l.start("u", "bystander")
			l.start("u", "bystander")
			l.start("u", "bad")
			l.g.Cut("u", first, l.now)
			return l.g.Refused("u", l.now)
		}, recent},
		{"most recent of several, but long ago", func(l *loss) *crashguard.Suspect {
			first := l.start("u", "bystander")
			l.start("u", "bystander")
			l.now = l.now.Add(crashguard.RecentStart + time.Second)
			l.g.Cut("u", first, l.now)
			return l.g.Refused("u", l.now)
		}, nil},
		{"a cut without a loss", func(l *loss) *crashguard.Suspect {
			return l.g.Cut("u", l.start("u", "bad"), l.now)
		}, nil},
		{"the loss of another upstream", func(l *loss) *crashguard.Suspect {
			l.g.Cut("u", l.start("u", "bad"), l.now)
			return l.g.Refused("v", l.now)
		}, nil},
		{"a refusal too late", func(l *loss) *crashguard.Suspect {
			l.g.Cut("u", l.start("u", "bad"), l.now)
			return l.g.Refused("u", l.now.Add(crashguard.ConfirmWithin+time.Second))
		}, nil},
		{"the same boot id", func(l *loss) *crashguard.Suspect {
			l.g.Cut("u", l.start("u", "bad"), l.now)
			return l.g.Boot("u", "boot-1", l.now)
		}, nil},
		{"a request that had ended", func(l *loss) *crashguard.Suspect {
			l.g.End("u", l.start("u", "bad"))
			l.g.Cut("u", 99, l.now)
			return l.g.Refused("u", l.now)
		}, nil},
		{"the same loss confirmed twice", func(l *loss) *crashguard.Suspect {
			l.g.Cut("u", l.start("u", "bad"), l.now)
			l.g.Refused("u", l.now)
			return l.g.Boot("u", "boot-2", l.now)
		}, nil},
	}
	for _, row := range rows {
		t.Run(row.description, func(t *testing.T) {
			is := is.New(t)
			l := &loss{g: crashguard.New(), now: time.Unix(1_000_000, 0)}
			is.Equal(row.run(l), row.suspect)
			is.True(!l.g.Blocked("bad", l.now)) // One loss blocks nothing.
		})
	}
}

// Guards against a request that goes on crashing upstreams, and against blocking it for good.
func TestBlocked(t *testing.T) {
	is := is.New(t)
	l := &loss{g: crashguard.New(), now: time.Unix(1_000_000, 0)}
	for _, upstream := range []string{"u", "v"} {
		is.True(!l.g.Blocked("bad", l.now))
		l.g.Cut(upstream, l.start(upstream, "bad"), l.now)
		l.g.Refused(upstream, l.now)
	}
	is.True(l.g.Blocked("bad", l.now))
	is.True(!l.g.Blocked("good", l.now))
	is.True(!l.g.Blocked("bad", l.now.Add(crashguard.Forget)))
	until := l.now.Add(time.Minute)
	l.g.SetBlocked(map[string]int64{"listed": until.UnixMilli()})
	is.True(l.g.Blocked("listed", l.now))
	is.True(!l.g.Blocked("listed", until))
}

// Guards against fingerprints that mix up requests, and against a large body hiding a repetition.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	small, large, other := []byte("body"), make([]byte, crashguard.SmallBody+1), make([]byte, crashguard.SmallBody+2)
	base := crashguard.Fingerprint("s", "GET", "/s/a", small)
	is.Equal(base, crashguard.Fingerprint("s", "GET", "/s/a", small))
	is.True(base != crashguard.Fingerprint("s", "GET", "/s/a", []byte("other")))
	is.True(base != crashguard.Fingerprint("s", "GET", "/s/", []byte("abody")))
	is.True(base != crashguard.Fingerprint("s", "PUT", "/s/a", small))
	is.Equal(crashguard.Fingerprint("s", "GET", "/s/a", large), crashguard.Fingerprint("s", "GET", "/s/a", other))
}
