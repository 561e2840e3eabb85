package rollouts

// This file simulates an engine whose loads and answers can fail.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// fakeEngine loads orders as a real engine does: it stores the pieces of each
// order, a load takes time after the commit, and new content serves only when it
// is complete. checkTokens makes it refuse old fencing tokens, and loseAnswers
// makes half of the successful calls return an error.
type fakeEngine struct {
	mutex          sync.Mutex
	checkTokens    bool
	down           bool
	failLoad       bool
	failVersion    string // Loads of this version fail.
	loseAnswers    bool
	highestToken   int64
	orders         map[string]*fakeOrder
	loading        string
	status         Status
	content        []byte
	acceptedTokens []int64
	random         *rand.Rand
	// changedAt is the time of the last change of the content.
	changedAt time.Time
}

type fakeOrder struct {
	order  Order
	pieces map[int][]byte
}

var errAnswerLost = errors.New("the answer was lost")

func newFakeEngine(checkTokens bool) *fakeEngine {
	return &fakeEngine{checkTokens: checkTokens, orders: map[string]*fakeOrder{}, random: rand.New(rand.NewPCG(2, 2))}
}

func (engine *fakeEngine) Status(context.Context) (Status, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	status := engine.status
	status.Loading = engine.loading != ""
	if engine.down {
		return Status{}, errAnswerLost
	}
	return status, nil
}

// simulateLostAnswer returns an error for half of the calls if answers are to be
// lost. It is called after the call has taken effect.
func (engine *fakeEngine) simulateLostAnswer() error {
	if engine.loseAnswers && engine.random.IntN(2) == 0 {
		return errAnswerLost
	}
	return nil
}

// acceptToken records the fencing token of a call, or refuses the call.
func (engine *fakeEngine) acceptToken(token int64) error {
	if engine.down {
		return errAnswerLost
	}
	if engine.checkTokens && token < engine.highestToken {
		return ErrStaleToken
	}
	engine.highestToken = max(engine.highestToken, token)
	engine.acceptedTokens = append(engine.acceptedTokens, token)
	return nil
}

func (engine *fakeEngine) SendOrder(_ context.Context, order Order) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err := engine.acceptToken(order.FencingToken); err != nil {
		return err
	}
	if _, known := engine.orders[order.OrderID]; !known {
		engine.orders[order.OrderID] = &fakeOrder{order: order, pieces: map[int][]byte{}}
	}
	return engine.simulateLostAnswer()
}

func (engine *fakeEngine) SendPiece(_ context.Context, orderID string, index int, content []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	order, known := engine.orders[orderID]
	if engine.down || !known {
		return errAnswerLost
	}
	order.pieces[index] = content
	return engine.simulateLostAnswer()
}

func (engine *fakeEngine) CommitOrder(_ context.Context, orderID string, token int64) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err := engine.acceptToken(token); err != nil {
		return err
	}
	order, known := engine.orders[orderID]
	switch {
	case !known || engine.loading != "":
		return errAnswerLost
	case engine.status.OrderID == orderID:
		return nil
	}
	engine.loading = orderID
	go engine.load(order)
	return engine.simulateLostAnswer()
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
	if engine.failLoad || engine.failVersion == order.order.Version {
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

// hasOrderOf reports whether the engine has received an order to load the version.
func (engine *fakeEngine) hasOrderOf(version string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for _, order := range engine.orders {
		if order.order.Version == version {
			return true
		}
	}
	return false
}

// restart replaces the engine by one that already serves the version, or none if
// the version is empty.
func (engine *fakeEngine) restart(version string, digest string, content []byte) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.loading = ""
	engine.changedAt = time.Now()
	engine.orders = map[string]*fakeOrder{}
	engine.status = Status{Version: version, ManifestDigest: digest}
	engine.content = content
}

func (engine *fakeEngine) update(change func(*fakeEngine)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	change(engine)
}
