package peer

import (
	"net/netip"
	"slices"
	"time"
)

// KnowsHost reports whether an IP address is that of a member or a seed.
func (no *Node) KnowsHost(ip netip.Addr) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.knowsHost(no.clock.Now(), ip)
}

// knowsHost reports whether an IP address is that of a member or a seed.
func (ml *MemberList) knowsHost(now time.Time, ip netip.Addr) bool {
	ml.expire(now)
	for ad := range ml.members {
		if ad.isAt(ip) {
			return true
		}
	}
	return slices.ContainsFunc(ml.seeds, func(ad Address) bool { return ad.isAt(ip) })
}

// isAt reports whether the address has an IP address.
func (ad Address) isAt(ip netip.Addr) bool {
	parsed, err := netip.ParseAddrPort(string(ad))
	return err == nil && parsed.Addr() == ip.Unmap()
}
