package directory

import "net/netip"

// Remove notes that an agent has said that its target takes no new flows and holds none.
func (d *Directory) Remove(agent netip.AddrPort) { delete(d.agents, agent) }
