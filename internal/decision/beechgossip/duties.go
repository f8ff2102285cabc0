package beechgossip

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// Duties is what follows for one member from the list of all members.
type Duties struct {
	Self        netip.AddrPort
	Zone        string
	Gates       int                         // members, with this one
	Neighbors   []netip.AddrPort            // the other members of this zone
	OtherZones  map[string][]netip.AddrPort // members, by zone
	ZoneOf      map[netip.AddrPort]string   // of all other members
	Readers     []netip.AddrPort            // of the fleet, by rank
	ZoneReaders map[string][]netip.AddrPort // by zone, by rank
	Collectors  map[string][]netip.AddrPort // by zone, by rank
	Collects    map[string]Rank             // zones whose engines this member collects
	Direct      bool                        // all members follow all keepers themselves
	Engines     int                         // in the zones that it collects
}

// Rank is a member's place among the collectors of a zone.
type Rank struct {
	Slot  int  // from 0
	Alone bool // there is no second collector
}

const (
	dutyRead    = "read"
	dutyCollect = "collect"

	readersPerGroup   = 2 // one and its standby
	collectorsPerZone = 2
	// maxDirectMembers is the number of members up to which all follow all keepers. What they
	// hear is as fresh as it can be, and does not end for a moment with a collector.
	maxDirectMembers = 8
)

// Assign derives a member's duties. Engines has the number of engines with a keeper by zone.
// Members of other zones help to collect the engines of a zone that has fewer than two.
func Assign(list []Member, self netip.AddrPort, zone string, engines map[string]int) *Duties {
	d := &Duties{
		Self: self, Zone: zone, Gates: len(list), OtherZones: make(map[string][]netip.AddrPort), ZoneOf: make(map[netip.AddrPort]string),
		ZoneReaders: make(map[string][]netip.AddrPort), Collectors: make(map[string][]netip.AddrPort), Collects: make(map[string]Rank),
	}
	byZone := make(map[string][]Member)
	for _, m := range list {
		byZone[m.Zone] = append(byZone[m.Zone], m)
		switch {
		case m.Address == self:
		case m.Zone == zone:
			d.Neighbors = append(d.Neighbors, m.Address)
			d.ZoneOf[m.Address] = m.Zone
		default:
			d.OtherZones[m.Zone] = append(d.OtherZones[m.Zone], m.Address)
			d.ZoneOf[m.Address] = m.Zone
		}
	}
	d.Readers = Choose(list, dutyRead, readersPerGroup)
	for name, members := range byZone {
		d.ZoneReaders[name] = Choose(members, dutyRead, readersPerGroup)
		d.Collectors[name] = Choose(members, dutyCollect, collectorsPerZone)
	}
	if d.Direct = len(list) <= maxDirectMembers; d.Direct {
		return d
	}
	for name, count := range engines {
		collectors := slices.Clone(d.Collectors[name])
		for _, other := range Choose(list, dutyCollect+" "+name, collectorsPerZone) {
			if len(collectors) < collectorsPerZone && !slices.Contains(collectors, other) {
				collectors = append(collectors, other)
			}
		}
		if slot := slices.Index(collectors, self); slot >= 0 {
			d.Collects[name] = Rank{Slot: slot, Alone: len(collectors) == 1}
			d.Engines += count
		}
	}
	return d
}

// CollectedZones returns the names of the zones whose engines this member collects.
func (d *Duties) CollectedZones() string {
	return strings.Join(slices.Sorted(maps.Keys(d.Collects)), " ")
}

// Dependents returns the members that this one tells of changes in the store: the readers of the
// fleet tell those of all zones, and the first reader of a zone its neighbors.
func (d *Duties) Dependents() []netip.AddrPort {
	var list []netip.AddrPort
	if slices.Contains(d.Readers, d.Self) {
		list = append(list, d.Readers...)
		for _, readers := range d.ZoneReaders {
			list = append(list, readers...)
		}
	}
	if first(d.ZoneReaders[d.Zone]) == d.Self {
		list = append(list, d.Neighbors...)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(list), func(a netip.AddrPort) bool { return a == d.Self })
}

func first(list []netip.AddrPort) netip.AddrPort {
	if len(list) == 0 {
		return netip.AddrPort{}
	}
	return list[0]
}
