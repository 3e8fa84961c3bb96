package multiprocess

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Host numbers, which are the last byte of the addresses of a zone. The zone's processes are numbered from 1.
const (
	changedHost = 200 // a process whose gossip address ChangePeerAddress replaced
	serverHost  = 250 // all stand-in servers of the zone
)

// relayZoneOffset is added to the number of a zone in the addresses of the relays through which its processes send.
const relayZoneOffset = 100

// addressRange is the part of 127.0.0.0/8 that one cluster uses. Every process has an IP address of its own, so that no other
// program takes its port while it is restarted.
type addressRange struct{ number int }

// clusterCount is the number of clusters that this process has created, each of which has an address range of its own.
var clusterCount atomic.Int64

func newAddressRange() addressRange { return addressRange{int(clusterCount.Add(1))} }

// ip returns the address of a host of a zone.
func (a addressRange) ip(zone, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(os.Getpid()*5+a.number)%64, zone+1, host)
}

// unusedPort returns the IP address with a port on which nothing listens now. The kernel chooses the port.
func unusedPort(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
