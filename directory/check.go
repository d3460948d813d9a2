package directory

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// maxSlots is the largest number of requests that a server is taken to run at once.
const maxSlots = 1 << 20

// Check returns a not-valid error if the entry names no server that can get requests: its
// ID can't be sent in a header, its address is not the IP address and port of one machine,
// it has no service, its slots are out of range, or it is neither ready nor draining.
func (se Server) Check() error {
	switch {
	case !isHeaderText(string(se.ID)):
		return errors.NotValidf("ID %q", se.ID)
	case !isMachineAddress(se.Address):
		return errors.NotValidf("address %q", se.Address)
	case se.Service == "":
		return errors.NotValidf("entry without service")
	case se.Slots < 1 || se.Slots > maxSlots:
		return errors.NotValidf("slots %d", se.Slots)
	case se.State != Ready && se.State != Draining:
		return errors.NotValidf("state %d", se.State)
	}
	return nil
}

// isHeaderText reports whether a text arrives unchanged as the value of a header.
func isHeaderText(text string) bool {
	return text != "" && strings.TrimSpace(text) == text && utf8.ValidString(text) &&
		!strings.ContainsFunc(text, func(char rune) bool { return char == utf8.RuneError || !unicode.IsPrint(char) })
}

// isMachineAddress reports whether an address is the IP address of one machine, with a
// port that can be connected to.
func isMachineAddress(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return false
	}
	ip := ap.Addr().Unmap()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
