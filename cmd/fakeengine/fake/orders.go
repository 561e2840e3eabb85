package fake

// A version reaches an engine as an order: the order is opened, its pieces are
// added in any sequence, and its commit starts the load. Fencing tokens prevent
// an agent that has been replaced from changing the version.

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"firford/lib/weights"
)

// order is a version that is being sent to the engine. Only the digests of its
// pieces are kept, so that a process with many engines needs little memory.
type order struct {
	token          int64
	orderID        string
	manifestDigest string
	version        string
	size           int64
	bytes          int64
	pieces         map[int]piece
}

// piece is the digest and the length in bytes of a received piece.
type piece struct {
	digest weights.Digest
	length int64
}

// openOrder adds an open order. If there are maxOpenOrders already, the oldest is
// dropped. Opening the same order again has no effect.
func (engine *Engine) openOrder(body orderRequest) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFencingToken(body.FencingToken); refused != nil {
		return refused
	}
	if body.OrderID == "" || body.Version == "" || body.Size <= 0 {
		return &refusal{status: 400, Code: codeMalformed}
	}
	if engine.findOrder(body.OrderID) != nil {
		return nil
	}
	if len(engine.openOrders) == maxOpenOrders {
		engine.openOrders = slices.Delete(engine.openOrders, 0, 1)
	}
	engine.openOrders = append(engine.openOrders, &order{
		token:          body.FencingToken,
		orderID:        body.OrderID,
		manifestDigest: body.ManifestDigest,
		version:        body.Version,
		size:           body.Size,
		pieces:         map[int]piece{},
	})
	return nil
}

// checkFencingToken refuses a token lower than the highest one seen and drops the
// open orders with lower tokens, both only if the engine checks tokens.
func (engine *Engine) checkFencingToken(token int64) *refusal {
	if engine.faults.RefuseTokens && token < engine.highestToken {
		return &refusal{status: 409, Code: codeStaleToken}
	}
	engine.highestToken = max(engine.highestToken, token)
	if engine.faults.RefuseTokens {
		engine.openOrders = slices.DeleteFunc(engine.openOrders, func(open *order) bool { return open.token < token })
	}
	return nil
}

func (engine *Engine) findOrder(orderID string) *order {
	for _, open := range engine.openOrders {
		if open.orderID == orderID {
			return open
		}
	}
	return nil
}

// addPiece adds a piece to an open order. A piece with the same index is replaced.
func (engine *Engine) addPiece(orderID string, index int, content []byte) *refusal {
	digest := weights.Sum(content)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	open := engine.findOrder(orderID)
	if open == nil {
		return &refusal{status: 409, Code: codeUnknownOrder}
	}
	if index < 0 || index >= maxOrderPieces {
		return &refusal{status: 400, Code: codeMalformed}
	}
	open.bytes += int64(len(content)) - open.pieces[index].length
	open.pieces[index] = piece{digest: digest, length: int64(len(content))}
	return nil
}

// commitOrder starts to load the version of a complete order. New requests are
// refused until the load has ended. Committing the order that is served or being
// loaded has no effect.
func (engine *Engine) commitOrder(orderID string, token int64) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFencingToken(token); refused != nil {
		return refused
	}
	if engine.serving.orderID == orderID || engine.loadingOrder != nil && engine.loadingOrder.orderID == orderID {
		return nil
	}
	open := engine.findOrder(orderID)
	switch {
	case open == nil:
		return &refusal{status: 409, Code: codeUnknownOrder}
	case !open.isComplete():
		return &refusal{status: 409, Code: codeIncomplete}
	case engine.loadingOrder != nil:
		return &refusal{status: 503, Code: codeLoading, RetryAfterMS: engine.settings.LoadTime.Milliseconds()}
	}
	engine.openOrders = slices.DeleteFunc(engine.openOrders, func(other *order) bool { return other == open })
	engine.loadingOrder = open
	engine.record.addOrder(open, time.Now())
	go engine.loadVersion(open)
	return nil
}

// isComplete reports whether the pieces are numbered from 0 without a gap and have
// exactly the announced size together.
func (open *order) isComplete() bool {
	for index := range len(open.pieces) {
		if _, present := open.pieces[index]; !present {
			return false
		}
	}
	return open.bytes == open.size
}

// piecesDigest returns the BLAKE3 hash of the piece digests by ascending index.
// If each piece is one chunk, tests can compute it from the manifest.
func (open *order) piecesDigest() weights.Digest {
	joined := make([]byte, 0, len(open.pieces)*weights.DigestBytes)
	for index := range len(open.pieces) {
		digest := open.pieces[index].digest
		joined = append(joined, digest[:]...)
	}
	return weights.Sum(joined)
}

// loadVersion waits until no request is queued or running, takes the load time and
// then serves the version. A load that fails does so after half the load time.
func (engine *Engine) loadVersion(loading *order) {
	for !engine.isIdle() {
		if !engine.sleep(engine.settings.Step) {
			return
		}
	}
	if !engine.sleep(engine.settings.LoadTime / 2) {
		return
	}
	if engine.failLoad(loading) {
		return
	}
	if !engine.sleep(engine.settings.LoadTime / 2) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.loadingOrder = nil
	engine.failedOrder = ""
	engine.cache.clear()
	engine.setServing(loadedVersion{
		version:        loading.version,
		manifestDigest: loading.manifestDigest,
		orderID:        loading.orderID,
		complete:       loading.isComplete(),
	}, time.Now())
	engine.logger.Info("version loaded", zap.String("version", loading.version), zap.String("order_id", loading.orderID))
}

func (engine *Engine) isIdle() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.active)+len(engine.waiting) == 0
}

// failLoad ends the load if the fault FailLoad is active, and reports whether it
// did.
func (engine *Engine) failLoad(loading *order) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.faults.FailLoad {
		return false
	}
	engine.loadingOrder = nil
	engine.failedOrder = loading.orderID
	if engine.faults.LoseVersion {
		engine.serving = loadedVersion{}
	}
	engine.logger.Info("load failed", zap.String("order_id", loading.orderID))
	return true
}

// sleep blocks for the duration and until the engine is no longer frozen. It
// returns false if the engine ends first.
func (engine *Engine) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return engine.waitWhileBlocked(time.Now())
	case <-engine.ctx.Done():
		return false
	}
}
