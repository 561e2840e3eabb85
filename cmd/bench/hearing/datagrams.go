package hearing

import (
	"math/rand/v2"
	"net"
	"sync"
)

// countedConn counts the datagrams of a process and drops a share of those that it sends.
// It is safe for concurrent use.
type countedConn struct {
	net.PacketConn
	loss   float64
	mutex  sync.Mutex
	random *rand.Rand
	counts counts
}

// newCountedConn returns a connection that drops the share of the datagrams.
func newCountedConn(conn net.PacketConn, loss float64, random *rand.Rand) *countedConn {
	return &countedConn{PacketConn: conn, loss: loss, random: random}
}

// WriteTo sends the datagram, or drops it as a network would: without an error.
func (conn *countedConn) WriteTo(datagram []byte, to net.Addr) (int, error) {
	conn.mutex.Lock()
	conn.counts.sent++
	conn.counts.sentBytes += int64(len(datagram))
	conn.counts.largestBytes = max(conn.counts.largestBytes, int64(len(datagram)))
	isDropped := conn.random.Float64() < conn.loss
	conn.mutex.Unlock()
	if isDropped {
		return len(datagram), nil
	}
	return conn.PacketConn.WriteTo(datagram, to)
}

// ReadFrom receives a datagram.
func (conn *countedConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := conn.PacketConn.ReadFrom(buffer)
	if err == nil {
		conn.mutex.Lock()
		conn.counts.received++
		conn.counts.receivedBytes += int64(count)
		conn.mutex.Unlock()
	}
	return count, from, err
}

func (conn *countedConn) read() counts {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.counts
}
