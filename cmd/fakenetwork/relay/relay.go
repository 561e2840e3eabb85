// Package relay stands in for the network between processes. It forwards TCP
// connections to their targets and can make the open ones go silent for good
// while new ones work, as a middlebox does that has lost its state.
//
// Dropping packets in the kernel was dropped as a way: it needs privileges that
// a test machine may not give, and can't silence single connections.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Kinds of faults of a route.
const (
	// FaultNone forwards everything.
	FaultNone = "none"
	// FaultSilent stops forwarding on the connections that are open now, and keeps
	// them open. Later connections work.
	FaultSilent = "silent"
	// FaultCut closes the open connections and refuses new ones.
	FaultCut = "cut"
	// FaultCorrupt changes one byte in a part of the buffers that it forwards.
	FaultCorrupt = "corrupt"
	// FaultStall forwards nothing on any connection until the fault is cleared.
	FaultStall = "stall"
)

const (
	bufferBytes = 64 << 10
	dialTimeout = time.Second
	stallPoll   = 20 * time.Millisecond
	// A corrupt route damages this share of the buffers that it forwards.
	corruptShare = 0.05
)

type (
	// Route forwards connections from Listen to Target, both IP addresses with
	// ports. Name is what faults address it by.
	Route struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Target string `json:"target"`
	}

	// Network is a set of routes with their faults. It is safe for concurrent use.
	Network struct {
		routes map[string]*state
	}

	state struct {
		route Route

		mutex sync.Mutex
		fault string
		pairs map[*pair]bool
	}

	pair struct {
		near, far net.Conn

		mutex  sync.Mutex
		silent bool
	}
)

// New returns a network of the routes, all without a fault.
func New(routes []Route) *Network {
	network := &Network{routes: map[string]*state{}}
	for _, route := range routes {
		network.routes[route.Name] = &state{route: route, fault: FaultNone, pairs: map[*pair]bool{}}
	}
	return network
}

// Run listens on every route until the context ends. It fails when a listener
// can't be opened.
func (network *Network) Run(ctx context.Context) error {
	for _, route := range network.routes {
		listener, err := net.Listen("tcp", route.route.Listen)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", route.route.Name, err)
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		go route.accept(ctx, listener)
	}
	<-ctx.Done()
	return nil
}

// SetFault changes the fault of a route.
func (network *Network) SetFault(name, fault string) error {
	route, known := network.routes[name]
	if !known {
		return fmt.Errorf("unknown route %q", name)
	}
	switch fault {
	case FaultNone, FaultSilent, FaultCut, FaultStall, FaultCorrupt:
	default:
		return fmt.Errorf("unknown fault %q, allowed: %s, %s, %s, %s, %s", fault, FaultNone, FaultSilent, FaultCut, FaultStall, FaultCorrupt)
	}
	route.set(fault)
	return nil
}

func (route *state) set(fault string) {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	switch fault {
	case FaultSilent:
		for pair := range route.pairs {
			pair.silence()
		}
		return
	case FaultCut:
		for pair := range route.pairs {
			pair.close()
		}
	}
	route.fault = fault
}

func (route *state) current() string {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	return route.fault
}

func (route *state) accept(ctx context.Context, listener net.Listener) {
	for {
		near, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		if route.current() == FaultCut {
			_ = near.Close()
			continue
		}
		go route.forward(ctx, near)
	}
}

func (route *state) forward(ctx context.Context, near net.Conn) {
	far, err := net.DialTimeout("tcp", route.route.Target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	joined := &pair{near: near, far: far}
	route.mutex.Lock()
	route.pairs[joined] = true
	route.mutex.Unlock()
	stop := context.AfterFunc(ctx, joined.close)
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { route.copy(joined, far, near) })
	directions.Go(func() { route.copy(joined, near, far) })
	directions.Wait()
	route.mutex.Lock()
	delete(route.pairs, joined)
	route.mutex.Unlock()
	joined.close()
}

// copy moves bytes in one direction. What a silent pair receives is discarded,
// so that neither end sees a full buffer or a closed connection.
func (route *state) copy(joined *pair, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		for route.current() == FaultStall {
			time.Sleep(stallPoll)
		}
		if count > 0 && route.current() == FaultCorrupt && rand.Float64() < corruptShare {
			buffer[count-1] ^= 0xff
		}
		if count > 0 && !joined.isSilent() {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				err = failed
			}
		}
		switch {
		case err == nil:
		case joined.isSilent():
			return
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		default:
			joined.close()
			return
		}
	}
}

// closeWrite passes on the end of one direction and leaves the other open.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (joined *pair) silence() {
	joined.mutex.Lock()
	defer joined.mutex.Unlock()
	joined.silent = true
}

func (joined *pair) isSilent() bool {
	joined.mutex.Lock()
	defer joined.mutex.Unlock()
	return joined.silent
}

func (joined *pair) close() {
	_ = joined.near.Close()
	_ = joined.far.Close()
}
