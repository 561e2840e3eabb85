package transfers

// Neighbours tell each other which chunks they hold. Each host sends what it
// received since its last message at most four times a second, without the
// chunks that the neighbour holds itself, and the whole bitmap on a new link or
// target. A message for each chunk to every host was dropped: at 270 hosts it
// exceeds the control-plane budget of 17 KB/s for each host.

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
	// announceInterval bounds the messages to a neighbour. The first chunk after
	// a pause is announced at once, which shortens the start of a transfer.
	announceInterval = 250 * time.Millisecond
	// Fewer new chunks than these wait longer, because on a slow link messages
	// about single chunks cost more processor time than the chunks themselves.
	announceBatch   = 4
	announceMaximum = time.Second
)

type (
	haveParams struct {
		Manifest string `json:"manifest"`
		Chunks   string `json:"chunks,omitempty"`
		Added    []int  `json:"added,omitempty"`
		// Answer asks for the receiver's own bitmap.
		Answer bool `json:"answer,omitempty"`
	}

	// news holds the chunks in the order of their arrival and what each neighbour
	// has been told of it.
	news struct {
		mutex   *sync.Mutex
		order   []int
		told    map[string]int
		senders map[string]*sync.Mutex
		last    time.Time
	}
)

func newNews() news {
	return news{mutex: &sync.Mutex{}, told: map[string]int{}, senders: map[string]*sync.Mutex{}}
}

// add appends a chunk that the state already holds. In the other order, a
// bitmap taken in between would lack a chunk that counts as told.
func (news *news) add(chunk int) {
	news.mutex.Lock()
	defer news.mutex.Unlock()
	news.order = append(news.order, chunk)
}

// due reports whether neighbours are to be told now, and if so starts the next
// interval. A host that has become whole does not wait for a full batch.
func (news *news) due(now time.Time, linked map[string]*links.Link, whole bool) bool {
	news.mutex.Lock()
	defer news.mutex.Unlock()
	untold := 0
	for name := range linked {
		untold = max(untold, len(news.order)-news.told[name])
	}
	waited := now.Sub(news.last)
	if untold == 0 || waited < announceInterval || untold < announceBatch && waited < announceMaximum && !whole {
		return false
	}
	news.last = now
	return true
}

// sender returns the lock under which messages to the neighbour are composed
// and sent, so that an older bitmap can't arrive after a newer one.
func (news *news) sender(name string) *sync.Mutex {
	news.mutex.Lock()
	defer news.mutex.Unlock()
	if news.senders[name] == nil {
		news.senders[name] = &sync.Mutex{}
	}
	return news.senders[name]
}

// tell returns the chunks that the neighbour was not told of and counts them as
// told.
func (news *news) tell(name string) []int {
	news.mutex.Lock()
	defer news.mutex.Unlock()
	untold := news.order[news.told[name]:]
	news.told[name] = len(news.order)
	return append([]int(nil), untold...)
}

// Register adds the handler of announcements. Call it before the first link.
func (node *Node) Register(router *links.Router) {
	links.OnNotification(router, methodHave, node.onHave)
}

// dialled returns the hosts that this one opens links to: of two neighbours,
// the one whose name sorts first. The caller holds the mutex.
func (node *Node) dialled() []hosts.Host {
	seen := map[string]bool{}
	var list []hosts.Host
	for _, each := range node.transfers {
		for _, host := range each.near() {
			if host.Name > node.given.Self.Name && !seen[host.Name] {
				seen[host.Name] = true
				list = append(list, host)
			}
		}
	}
	return list
}

// onOpen introduces this host on a link that it has opened, even without a
// target, so that the peer learns which link leads to it.
func (node *Node) onOpen(host hosts.Host, link *links.Link) {
	go node.watch(host.Name, link)
	all := node.running()
	if len(all) == 0 {
		_ = link.Notify(methodHave, haveParams{})
	}
	for _, each := range all {
		each.sendWhole(host.Name, link, true)
	}
}

// watch reports the end of a link.
func (node *Node) watch(name string, link *links.Link) {
	<-link.Done()
	received, sent := link.Bytes()
	node.mutex.Lock()
	node.ended += received + sent
	if node.accepted[name] == link {
		delete(node.accepted, name)
	}
	node.mutex.Unlock()
	// The pool may not have noticed the end of this link yet.
	if current := node.link(name); current != nil && current != link {
		return
	}
	for _, each := range node.running() {
		each.handle(selections.Lost{Neighbour: name}, time.Now())
	}
}

// link returns an open link to the host, or nil.
func (node *Node) link(name string) *links.Link {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.pool == nil {
		return nil
	}
	if link := node.pool.Get(name); link != nil {
		return link
	}
	return node.accepted[name]
}

// controlBytes returns the bytes sent and received on the links to neighbours.
func (node *Node) controlBytes() int64 {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	total := node.ended
	if node.pool == nil {
		return total
	}
	open := node.pool.OpenLinks()
	for name, link := range node.accepted {
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

func (node *Node) onHave(link *links.Link, params haveParams) {
	peer := link.Peer().Name
	node.mutex.Lock()
	if node.pool != nil && node.pool.Get(peer) != link && node.accepted[peer] != link {
		node.accepted[peer] = link
		go node.watch(peer, link)
	}
	node.mutex.Unlock()
	for _, each := range node.running() {
		if each.key == params.Manifest {
			each.onHave(peer, link, params)
		}
	}
}

func (transfer *transfer) onHave(peer string, link *links.Link, params haveParams) {
	event := selections.Announced{Neighbour: peer, Added: params.Added}
	if params.Chunks != "" {
		has, err := weights.DecodeSet(params.Chunks, len(transfer.manifest.Chunks))
		if err != nil {
			return
		}
		event.Whole, event.Has = true, has
	}
	transfer.handle(event, time.Now())
	if params.Answer {
		// The handler runs in the link's read loop, which a write must not block.
		go transfer.sendWhole(peer, link, false)
	}
}

// announceWhole tells all neighbours what the host holds and asks them for the same.
func (transfer *transfer) announceWhole() {
	for _, host := range transfer.near() {
		if link := transfer.node.link(host.Name); link != nil {
			transfer.sendWhole(host.Name, link, true)
		}
	}
}

func (transfer *transfer) sendWhole(name string, link *links.Link, answer bool) {
	sender := transfer.news.sender(name)
	sender.Lock()
	defer sender.Unlock()
	transfer.news.tell(name)
	transfer.mutex.Lock()
	held := transfer.state.Held()
	transfer.mutex.Unlock()
	_ = link.Notify(methodHave, haveParams{Manifest: transfer.key, Chunks: held.Encode(), Answer: answer})
}

// announceAdded tells the neighbours what arrived since the last time. Each
// neighbour has at most one sender, because a write to a silent one blocks.
func (transfer *transfer) announceAdded(now time.Time) {
	// A dead neighbour must not make a message due for all others.
	linked := map[string]*links.Link{}
	for _, host := range transfer.near() {
		if link := transfer.node.link(host.Name); link != nil {
			linked[host.Name] = link
		}
	}
	if !transfer.news.due(now, linked, transfer.progress().Whole) {
		return
	}
	for name, link := range linked {
		sender := transfer.news.sender(name)
		if !sender.TryLock() {
			continue
		}
		go func() {
			defer sender.Unlock()
			if unknown := transfer.unknownTo(name, transfer.news.tell(name)); len(unknown) > 0 {
				_ = link.Notify(methodHave, haveParams{Manifest: transfer.key, Added: unknown})
			}
		}()
	}
}

// unknownTo returns the chunks that the neighbour does not hold itself.
func (transfer *transfer) unknownTo(name string, added []int) []int {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	var unknown []int
	for _, chunk := range added {
		if !transfer.state.Knows(name, chunk) {
			unknown = append(unknown, chunk)
		}
	}
	return unknown
}
