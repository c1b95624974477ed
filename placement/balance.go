package placement

import (
	"cmp"
	"slices"
)

// Item is an object owned by one member at a time, such as an upstream. Names are unique among the items of one call.
type Item struct {
	Name string
	Zone string
	// Owner is the name of the current owner. An empty name, or one that is not a member, means no owner.
	Owner string
	// Fixed items count towards their owner's limit but are not moved, because a handover is in progress.
	Fixed bool
}

// Limit returns the maximum number of items per member: ceil(mean)+1. The margin of one keeps items in their own zone
// and avoids moves when the counts of zones differ slightly.
func Limit(items, members int) int {
	return ceilMean(items, members) + 1
}

func ceilMean(items, members int) int {
	return (items + members - 1) / members
}

// Balance returns the owner of every item, by item name. It prefers members in the item's zone, and no member owns more
// than Limit items unless fixed items make it impossible. The item counts of the members of a zone differ by at most
// one, as far as their items can be moved. Items are not moved for any other reason. Balance is idempotent: applied to
// its own result it moves nothing. Without members the result is empty.
func Balance(members []Member, items []Item) map[string]string {
	if len(members) == 0 {
		return nil
	}
	b := newBalancer(members, items)
	for b.moveToOwnZone() {
	}
	b.assignInZone()
	b.assignAnywhere()
	b.enforceLimit()
	b.evenOutZones()
	owners := make(map[string]string, len(b.items))
	for _, it := range b.items {
		if it.owner != nil {
			owners[it.Name] = it.owner.Name
		}
	}
	return owners
}

type owner struct {
	Member
	items []*item
}

type item struct {
	Item
	owner *owner
}

type balancer struct {
	owners []*owner
	byZone map[string][]*owner
	items  []*item
	mean   int // mean number of items per member, rounded up
	limit  int
}

func newBalancer(members []Member, items []Item) *balancer {
	b := &balancer{
		byZone: make(map[string][]*owner),
		mean:   ceilMean(len(items), len(members)),
		limit:  Limit(len(items), len(members)),
	}
	byName := make(map[string]*owner, len(members))
	for _, m := range members {
		o := &owner{Member: m}
		byName[m.Name] = o
		b.owners = append(b.owners, o)
	}
	slices.SortFunc(b.owners, func(x, y *owner) int { return cmp.Compare(x.Name, y.Name) })
	for _, o := range b.owners {
		b.byZone[o.Zone] = append(b.byZone[o.Zone], o)
	}
	for _, i := range items {
		b.items = append(b.items, &item{Item: i})
	}
	slices.SortFunc(b.items, func(x, y *item) int { return cmp.Compare(x.Name, y.Name) })
	for _, it := range b.items {
		if o := byName[it.Owner]; o != nil {
			b.assign(it, o)
		}
	}
	return b
}

func (b *balancer) assign(it *item, to *owner) {
	if from := it.owner; from != nil {
		i := slices.Index(from.items, it)
		from.items = slices.Delete(from.items, i, i+1)
	}
	it.owner = to
	to.items = append(to.items, it)
}

// leastLoaded returns the candidate with the fewest items, or nil if none is below limit. Ties are broken by rendezvous
// score, so that the first name is not always preferred.
func leastLoaded(candidates []*owner, it *item, limit int) *owner {
	var best *owner
	for _, o := range candidates {
		switch {
		case len(o.items) >= limit:
		case best == nil, len(o.items) < len(best.items):
			best = o
		case len(o.items) == len(best.items) && Score(it.Name, o.Name) > Score(it.Name, best.Name):
			best = o
		}
	}
	return best
}

// moveToOwnZone moves items owned in another zone back to their own zone. It fills members only up to the mean, which is
// one below Limit, so that a small change does not move items back and forth. It reports whether it moved any item; the
// caller then repeats it, because a moved item can make room for another one.
func (b *balancer) moveToOwnZone() (moved bool) {
	for _, it := range b.items {
		if it.owner == nil || it.Fixed || it.owner.Zone == it.Zone {
			continue
		}
		if o := leastLoaded(b.byZone[it.Zone], it, b.mean); o != nil {
			b.assign(it, o)
			moved = true
		}
	}
	return moved
}

func (b *balancer) assignInZone() {
	for _, it := range b.items {
		if it.owner != nil || it.Fixed {
			continue
		}
		if o := leastLoaded(b.byZone[it.Zone], it, b.limit); o != nil {
			b.assign(it, o)
		}
	}
}

func (b *balancer) assignAnywhere() {
	for _, it := range b.items {
		if it.owner == nil && !it.Fixed {
			b.assign(it, leastLoaded(b.owners, it, len(b.items)+1))
		}
	}
}

// enforceLimit moves items away from members above the limit, starting with items of other zones.
func (b *balancer) enforceLimit() {
	for _, o := range b.owners {
		for len(o.items) > b.limit {
			it := o.nextToMove()
			if it == nil {
				break
			}
			to := leastLoaded(b.byZone[it.Zone], it, b.limit)
			if to == nil {
				to = leastLoaded(b.owners, it, b.limit)
			}
			if to == nil {
				break
			}
			b.assign(it, to)
		}
	}
}

// evenOutZones moves items between the members of a zone until their counts differ by at most one.
func (b *balancer) evenOutZones() {
	for _, o := range b.owners {
		for zone := b.byZone[o.Zone]; ; {
			most, fewest := extremes(zone)
			if most == nil || len(most.items)-len(fewest.items) < 2 {
				break
			}
			b.assign(most.nextToMove(), fewest)
		}
	}
}

// extremes returns the member with the most items among those that have an item to move, or nil if there is none, and
// the member with the fewest items.
func extremes(zone []*owner) (most, fewest *owner) {
	for _, o := range zone {
		if (most == nil || len(o.items) > len(most.items)) && o.nextToMove() != nil {
			most = o
		}
		if fewest == nil || len(o.items) < len(fewest.items) {
			fewest = o
		}
	}
	return most, fewest
}

// nextToMove returns the item to move away first: one of another zone, otherwise the last by name. It returns nil if
// all items are fixed.
func (o *owner) nextToMove() *item {
	var best *item
	for _, it := range o.items {
		if it.Fixed {
			continue
		}
		if best == nil || it.moveRank(o) < best.moveRank(o) || it.moveRank(o) == best.moveRank(o) && it.Name > best.Name {
			best = it
		}
	}
	return best
}

// moveRank orders items by how soon they are moved: 0 for an item of another zone than its owner's, and 1 otherwise.
func (it *item) moveRank(o *owner) int {
	if it.Zone != o.Zone {
		return 0
	}
	return 1
}
