package member

import (
	"sort"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/sharding"
)

// Topology is the set of peers that an entry has links to.
type Topology struct {
	Local  []string // all other members of its data centre
	Relays []string // one member of each other data centre, in the order of the names of the data centres
}

// Links returns the peers of a member: all others of its data centre, and one
// of each other data centre, chosen by rendezvous hashing.
func Links(self control.Member, members []control.Member) Topology {
	var topology Topology
	others := map[fleet.DataCentreName][]string{}
	for _, m := range members {
		switch {
		case m.ID == self.ID:
		case m.DataCentre == self.DataCentre:
			topology.Local = append(topology.Local, m.ID)
		default:
			others[m.DataCentre] = append(others[m.DataCentre], m.ID)
		}
	}
	names := make([]string, 0, len(others))
	for name := range others {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		topology.Relays = append(topology.Relays, sharding.Owner(self.ID, others[fleet.DataCentreName(name)]))
	}
	return topology
}
