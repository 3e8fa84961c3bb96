package multiprocess

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Host numbers within a zone's part of an address range. Processes have the numbers from 1 on.
const (
	changedHost = 200 // a process that ChangePeerAddress moved
	serverHost  = 250 // the stand-ins
)

// relayZoneOffset is added to the number of a zone for the addresses of the relays through which it sends.
const relayZoneOffset = 100

// addressRange is the part of 127.0.0.0/8 that one cluster uses. Every process has an IP address of its own, so that nothing
// else takes its port while it is restarted.
type addressRange struct{ number int }

// clusterCount counts the clusters of this process, each of which gets a range of its own.
var clusterCount atomic.Int64

func newAddressRange() addressRange { return addressRange{int(clusterCount.Add(1))} }

// ip returns the address of a host of a zone.
func (a addressRange) ip(zone, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(os.Getpid()*5+a.number)%64, zone+1, host)
}

// unusedPort returns the IP address with a port that the kernel chose.
func unusedPort(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
