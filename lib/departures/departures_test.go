package departures

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
)

// fakeLister is the platform's list of hosts as one process reads it. Two processes
// can get different lists.
type fakeLister struct {
	mutex   sync.Mutex
	leaving bool
}

func (lister *fakeLister) List(context.Context) ([]hosts.Host, error) {
	lister.mutex.Lock()
	defer lister.mutex.Unlock()
	return []hosts.Host{{Name: "agent-1", Leaving: lister.leaving}, {Name: "agent-2"}}, nil
}

func (lister *fakeLister) setLeaving() {
	lister.mutex.Lock()
	defer lister.mutex.Unlock()
	lister.leaving = true
}

// startProcess runs a process that reads the list and notifies the neighbour, if
// there is one.
func startProcess(ctx context.Context, self string, list hosts.Lister, neighbour func() *Node) (*Node, *hosts.Watcher) {
	watcher := hosts.NewWatcher(list, zap.NewNop())
	node := New(Dependencies{Self: self, Watcher: watcher, Logger: zap.NewNop(), Broadcast: func(_ string, params any) {
		if next := neighbour(); next != nil {
			next.handleLeaving(params.(leavingParams).Host)
		}
	}})
	go watcher.Run(ctx)
	go node.Run(ctx)
	return node, watcher
}

// Guards against processes that still send work to a leaving host because their next
// read of the list is not due yet. Only the notification tells the second process.
func TestNotificationReachesProcessesWithAStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		current, stale := &fakeLister{}, &fakeLister{}
		second, secondWatcher := startProcess(ctx, "entry-1", stale, func() *Node { return nil })
		_, firstWatcher := startProcess(ctx, "entry-2", current, func() *Node { return second })
		time.Sleep(time.Second)
		current.setLeaving()
		firstWatcher.Refresh()
		synctest.Wait()
		if !secondWatcher.Current()[0].Leaving {
			t.Fatal("the process with a stale list still counts the leaving host as available")
		}
		if listed, _ := secondWatcher.ListedHost("agent-1"); listed.Leaving {
			t.Fatal("a hint must not change the platform's list, because a wrong hint would drain a host")
		}
		time.Sleep(10 * time.Second)
		if secondWatcher.Current()[0].Leaving {
			t.Fatal("a hint that the list does not confirm must expire")
		}
	})
}

// Guards against a host that is notified of its own departure but never drains,
// because the confirmation by the list after the hint is not reported as a change.
func TestConfirmationAfterHintIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		list := &fakeLister{}
		node, watcher := startProcess(ctx, "agent-1", list, func() *Node { return nil })
		time.Sleep(100 * time.Millisecond)
		node.handleLeaving("agent-1")
		_, changed := watcher.Changed()
		list.setLeaving()
		watcher.Refresh()
		select {
		case <-changed:
		case <-time.After(5 * time.Second):
			t.Fatal("the confirmation was not reported as a change")
		}
		if listed, _ := watcher.ListedHost("agent-1"); !listed.Leaving {
			t.Fatal("the list does not show the departure")
		}
	})
}
