package rollouts

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// fakeEngine loads orders as real ones do: pieces are kept for each order, a
// commit takes time, and new content serves only when it is whole.
type fakeEngine struct {
	mutex    sync.Mutex
	fences   bool
	down     bool
	failLoad bool
	failOnly string // The only version whose loads fail, if set.
	lose     bool
	highest  int64
	orders   map[string]*fakeOrder
	loading  string
	status   Status
	content  []byte
	accepted []int64
	random   *rand.Rand
	// changedAt is when the content last changed.
	changedAt time.Time
}

type fakeOrder struct {
	order  Order
	pieces map[int][]byte
}

var errLost = errors.New("the answer was lost")

func newFakeEngine(fences bool) *fakeEngine {
	return &fakeEngine{fences: fences, orders: map[string]*fakeOrder{}, random: rand.New(rand.NewPCG(2, 2))}
}

func (engine *fakeEngine) Status(context.Context) (Status, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	status := engine.status
	status.Loading = engine.loading != ""
	if engine.down {
		return Status{}, errLost
	}
	return status, nil
}

// answer decides whether an answer is lost after the call took effect.
func (engine *fakeEngine) answer() error {
	if engine.lose && engine.random.IntN(2) == 0 {
		return errLost
	}
	return nil
}

func (engine *fakeEngine) admit(token int64) error {
	if engine.down {
		return errLost
	}
	if engine.fences && token < engine.highest {
		return ErrStaleToken
	}
	engine.highest = max(engine.highest, token)
	engine.accepted = append(engine.accepted, token)
	return nil
}

func (engine *fakeEngine) Order(_ context.Context, order Order) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err := engine.admit(order.FencingToken); err != nil {
		return err
	}
	if _, known := engine.orders[order.OrderID]; !known {
		engine.orders[order.OrderID] = &fakeOrder{order: order, pieces: map[int][]byte{}}
	}
	return engine.answer()
}

func (engine *fakeEngine) Piece(_ context.Context, orderID string, index int, content []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	order, known := engine.orders[orderID]
	if engine.down || !known {
		return errLost
	}
	order.pieces[index] = content
	return engine.answer()
}

func (engine *fakeEngine) Commit(_ context.Context, orderID string, token int64) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err := engine.admit(token); err != nil {
		return err
	}
	order, known := engine.orders[orderID]
	switch {
	case !known || engine.loading != "":
		return errLost
	case engine.status.OrderID == orderID:
		return nil
	}
	engine.loading = orderID
	go engine.load(order)
	return engine.answer()
}

func (engine *fakeEngine) load(order *fakeOrder) {
	for range loadSteps {
		time.Sleep(time.Second)
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.loading != order.order.OrderID {
		return
	}
	engine.loading = ""
	engine.changedAt = time.Now()
	if engine.failLoad || engine.failOnly == order.order.Version {
		engine.status = Status{FailedOrder: order.order.OrderID}
		engine.content = nil
		return
	}
	engine.content = nil
	for index := range len(order.pieces) {
		engine.content = append(engine.content, order.pieces[index]...)
	}
	engine.status = Status{Version: order.order.Version, ManifestDigest: order.order.ManifestDigest, OrderID: order.order.OrderID}
}

// ordered reports whether the engine has an order of the version.
func (engine *fakeEngine) ordered(version string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for _, order := range engine.orders {
		if order.order.Version == version {
			return true
		}
	}
	return false
}

// restart makes the engine come back with a version of its own choice.
func (engine *fakeEngine) restart(version string, digest string, content []byte) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.loading = ""
	engine.changedAt = time.Now()
	engine.orders = map[string]*fakeOrder{}
	engine.status = Status{Version: version, ManifestDigest: digest}
	engine.content = content
}

func (engine *fakeEngine) set(change func(*fakeEngine)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	change(engine)
}
