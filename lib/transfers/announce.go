package transfers

// Neighbours announce to each other which chunks they hold. At most four times a
// second, a host announces the chunks that it received since its last
// announcement, except those that the neighbour holds itself. On a new link or a
// new target it sends the complete bitmap. Sending a message for each chunk to
// every host was rejected: at 270 hosts it exceeds the control-plane budget of
// 17 KB/s for each host.

import (
	"sync"
	"time"

	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/transfers/selections"
	"firford/lib/weights"
)

const (
	methodHave = "chunks.have"
	// announceInterval is the shortest time between two announcements of new
	// chunks. The first chunk after a longer pause is announced at once, which
	// shortens the start of a transfer.
	announceInterval = 250 * time.Millisecond
	// Fewer new chunks than announceBatch are delayed up to maxAnnounceDelay,
	// because on a slow link messages about single chunks cost more processor time
	// than the chunks themselves.
	announceBatch    = 4
	maxAnnounceDelay = time.Second
)

type (
	// announcementParams announces chunks of a manifest: Chunks is the encoded bitmap
	// of all chunks that the sender holds, Added lists chunks that it received since.
	announcementParams struct {
		Manifest string `json:"manifest"`
		Chunks   string `json:"chunks,omitempty"`
		Added    []int  `json:"added,omitempty"`
		// RequestReply asks the receiver to reply with its own bitmap.
		RequestReply bool `json:"answer,omitempty"`
	}

	// announcements holds the chunks in the order of their arrival and how many of
	// them have been announced to each neighbour.
	announcements struct {
		mutex         *sync.Mutex
		arrivals      []int
		announced     map[string]int
		sendLocks     map[string]*sync.Mutex
		lastAnnounced time.Time
	}
)

func newAnnouncements() announcements {
	return announcements{mutex: &sync.Mutex{}, announced: map[string]int{}, sendLocks: map[string]*sync.Mutex{}}
}

// add appends a chunk. The transfer's state must hold it already: if add came
// first, a bitmap sent in between would lack a chunk that counts as announced.
func (announcements *announcements) add(chunk int) {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	announcements.arrivals = append(announcements.arrivals, chunk)
}

// due reports whether new chunks are to be announced now, and if so starts the
// next interval. A host that holds the complete version does not wait for a full
// batch.
func (announcements *announcements) due(now time.Time, linked map[string]*links.Link, complete bool) bool {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	unannounced := 0
	for name := range linked {
		unannounced = max(unannounced, len(announcements.arrivals)-announcements.announced[name])
	}
	waited := now.Sub(announcements.lastAnnounced)
	if unannounced == 0 || waited < announceInterval || unannounced < announceBatch && waited < maxAnnounceDelay && !complete {
		return false
	}
	announcements.lastAnnounced = now
	return true
}

// sendLock returns the lock that is held while an announcement to the neighbour
// is composed and sent, so that an older bitmap can't arrive after a newer one.
func (announcements *announcements) sendLock(name string) *sync.Mutex {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	if announcements.sendLocks[name] == nil {
		announcements.sendLocks[name] = &sync.Mutex{}
	}
	return announcements.sendLocks[name]
}

// takeUnannounced returns the chunks that have not been announced to the
// neighbour and marks them as announced.
func (announcements *announcements) takeUnannounced(name string) []int {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	unannounced := announcements.arrivals[announcements.announced[name]:]
	announcements.announced[name] = len(announcements.arrivals)
	return append([]int(nil), unannounced...)
}

// Register adds the handler of announcements to the router. Call it before the
// first link opens.
func (node *Node) Register(router *links.Router) {
	links.OnNotification(router, methodHave, node.handleAnnouncement)
}

// neighboursToDial returns the neighbours to which this host opens links. Of two
// neighbours, the one whose name sorts first opens the link. The caller holds the
// mutex.
func (node *Node) neighboursToDial() []hosts.Host {
	seen := map[string]bool{}
	var list []hosts.Host
	for _, each := range node.transfers {
		for _, host := range each.currentNeighbours() {
			if host.Name > node.dependencies.Self.Name && !seen[host.Name] {
				seen[host.Name] = true
				list = append(list, host)
			}
		}
	}
	return list
}

// handleLinkOpened announces this host's chunks on a link that it has opened.
// Without a target it sends an empty announcement, so that the peer registers the
// link.
func (node *Node) handleLinkOpened(host hosts.Host, link *links.Link) {
	go node.watchLink(host.Name, link)
	all := node.activeTransfers()
	if len(all) == 0 {
		_ = link.Notify(methodHave, announcementParams{})
	}
	for _, each := range all {
		each.sendSnapshot(host.Name, link, true)
	}
}

// watchLink waits for the end of the link, adds its bytes to the total of closed
// links, and reports the end to the transfers unless another link to the host is
// open.
func (node *Node) watchLink(name string, link *links.Link) {
	<-link.Done()
	received, sent := link.Bytes()
	node.mutex.Lock()
	node.closedLinkBytes += received + sent
	if node.acceptedLinks[name] == link {
		delete(node.acceptedLinks, name)
	}
	node.mutex.Unlock()
	// The pool may still return the closed link.
	if current := node.linkTo(name); current != nil && current != link {
		return
	}
	for _, each := range node.activeTransfers() {
		each.handle(selections.NeighbourDisconnected{Neighbour: name}, time.Now())
	}
}

// linkTo returns the link to the host, or nil. It prefers a link that this host
// opened to one that it accepted.
func (node *Node) linkTo(name string) *links.Link {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.pool == nil {
		return nil
	}
	if link := node.pool.Get(name); link != nil {
		return link
	}
	return node.acceptedLinks[name]
}

// controlBytes returns the total of bytes sent and received on the links to
// neighbours, including closed ones.
func (node *Node) controlBytes() int64 {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	total := node.closedLinkBytes
	if node.pool == nil {
		return total
	}
	open := node.pool.OpenLinks()
	for name, link := range node.acceptedLinks {
		if open[name] == nil {
			open[name] = link
		}
	}
	for _, link := range open {
		received, sent := link.Bytes()
		total += received + sent
	}
	return total
}

// handleAnnouncement passes an announcement to the transfers of its manifest. It
// registers the link if the peer opened it.
func (node *Node) handleAnnouncement(link *links.Link, params announcementParams) {
	peer := link.Peer().Name
	node.mutex.Lock()
	if node.pool != nil && node.pool.Get(peer) != link && node.acceptedLinks[peer] != link {
		node.acceptedLinks[peer] = link
		go node.watchLink(peer, link)
	}
	node.mutex.Unlock()
	for _, each := range node.activeTransfers() {
		if each.manifestKey == params.Manifest {
			each.handleAnnouncement(peer, link, params)
		}
	}
}

func (transfer *transfer) handleAnnouncement(peer string, link *links.Link, params announcementParams) {
	event := selections.ChunksAnnounced{Neighbour: peer, Added: params.Added}
	if params.Chunks != "" {
		held, err := weights.DecodeSet(params.Chunks, len(transfer.manifest.Chunks))
		if err != nil {
			return
		}
		event.Snapshot, event.Held = true, held
	}
	transfer.handle(event, time.Now())
	if params.RequestReply {
		// The handler runs in the link's read loop, which a write must not block.
		go transfer.sendSnapshot(peer, link, false)
	}
}

// announceSnapshot sends the complete bitmap to all linked neighbours and asks
// for theirs.
func (transfer *transfer) announceSnapshot() {
	for _, host := range transfer.currentNeighbours() {
		if link := transfer.node.linkTo(host.Name); link != nil {
			transfer.sendSnapshot(host.Name, link, true)
		}
	}
}

// sendSnapshot sends the complete bitmap to the neighbour. It may block, as it
// writes to the link.
func (transfer *transfer) sendSnapshot(name string, link *links.Link, requestReply bool) {
	sendLock := transfer.announcements.sendLock(name)
	sendLock.Lock()
	defer sendLock.Unlock()
	transfer.announcements.takeUnannounced(name)
	transfer.mutex.Lock()
	held := transfer.state.Held()
	transfer.mutex.Unlock()
	_ = link.Notify(methodHave, announcementParams{Manifest: transfer.manifestKey, Chunks: held.Encode(), RequestReply: requestReply})
}

// announceNewChunks announces the chunks that arrived since the last announcement.
// Each neighbour has at most one sending goroutine, because a write to an
// unresponsive neighbour blocks.
func (transfer *transfer) announceNewChunks(now time.Time) {
	// Only linked neighbours count, because the chunks not announced to a dead one
	// would make an announcement due for all others.
	linked := map[string]*links.Link{}
	for _, host := range transfer.currentNeighbours() {
		if link := transfer.node.linkTo(host.Name); link != nil {
			linked[host.Name] = link
		}
	}
	if !transfer.announcements.due(now, linked, transfer.progress().Complete) {
		return
	}
	for name, link := range linked {
		sendLock := transfer.announcements.sendLock(name)
		if !sendLock.TryLock() {
			continue
		}
		go func() {
			defer sendLock.Unlock()
			if unknown := transfer.notHeldBy(name, transfer.announcements.takeUnannounced(name)); len(unknown) > 0 {
				_ = link.Notify(methodHave, announcementParams{Manifest: transfer.manifestKey, Added: unknown})
			}
		}()
	}
}

// notHeldBy returns those of the added chunks that the neighbour has not announced
// itself.
func (transfer *transfer) notHeldBy(name string, added []int) []int {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	var unknown []int
	for _, chunk := range added {
		if !transfer.state.HasAnnounced(name, chunk) {
			unknown = append(unknown, chunk)
		}
	}
	return unknown
}
