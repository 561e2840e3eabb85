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

// lister is the platform's list, which shows a departure to some readers only.
type lister struct {
	mutex   sync.Mutex
	leaving bool
}

func (lister *lister) List(context.Context) ([]hosts.Host, error) {
	lister.mutex.Lock()
	defer lister.mutex.Unlock()
	return []hosts.Host{{Name: "agent-1", Leaving: lister.leaving}, {Name: "agent-2"}}, nil
}

func (lister *lister) leave() {
	lister.mutex.Lock()
	defer lister.mutex.Unlock()
	lister.leaving = true
}

// start runs a process that reads the list; its neighbour is set later.
func start(ctx context.Context, self string, list hosts.Lister, neighbour func() *Node) (*Node, *hosts.Watcher) {
	watcher := hosts.NewWatcher(list, zap.NewNop())
	node := New(Dependencies{Self: self, Watcher: watcher, Logger: zap.NewNop(), Broadcast: func(_ string, params any) {
		if next := neighbour(); next != nil {
			next.hear(params.(leavingParams).Host)
		}
	}})
	go watcher.Run(ctx)
	go node.Run(ctx)
	return node, watcher
}

// Guards against work on a leaving host by processes whose turn to read the
// list has not come. Without the hint the second process learns nothing.
func TestHintReachesProcessesThatHaveNotReadTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		current, stale := &lister{}, &lister{}
		second, secondWatcher := start(ctx, "entry-1", stale, func() *Node { return nil })
		_, firstWatcher := start(ctx, "entry-2", current, func() *Node { return second })
		time.Sleep(time.Second)
		current.leave()
		firstWatcher.Refresh()
		synctest.Wait()
		if !secondWatcher.Current()[0].Leaving {
			t.Fatal("the process that has not read the list still gives work to the leaving host")
		}
		if listed, _ := secondWatcher.ListedHost("agent-1"); listed.Leaving {
			t.Fatal("a hint must not count as the platform's list, or a wrong one would drain a host")
		}
		time.Sleep(10 * time.Second)
		if secondWatcher.Current()[0].Leaving {
			t.Fatal("a hint that the list does not confirm has to expire")
		}
	})
}

// Guards against a host that hears of its own departure but never drains,
// because the confirmation by the list wakes nobody after the hint.
func TestConfirmationAfterHintWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		list := &lister{}
		node, watcher := start(ctx, "agent-1", list, func() *Node { return nil })
		time.Sleep(100 * time.Millisecond)
		node.hear("agent-1")
		_, changed := watcher.Changed()
		list.leave()
		watcher.Refresh()
		select {
		case <-changed:
		case <-time.After(5 * time.Second):
			t.Fatal("the confirmation woke nobody")
		}
		if listed, _ := watcher.ListedHost("agent-1"); !listed.Leaving {
			t.Fatal("the list does not show the departure")
		}
	})
}
