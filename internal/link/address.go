package link

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ValidateAddress returns why no process can listen on an address, or nil. An address is host:port
// with a port of 1 to 65535.
func ValidateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if number, err := strconv.ParseUint(port, 10, 16); host == "" || err != nil || number == 0 {
		return errors.Newf("address %.80q has no host or no valid port", address)
	}
	return nil
}
