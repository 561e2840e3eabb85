package fake

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"firford/lib/weights"
)

// order is one version on its way into the engine. Only the digests of the
// pieces are kept, so that a fake with many engines stays small.
type order struct {
	token          int64
	orderID        string
	manifestDigest string
	version        string
	size           int64
	bytes          int64
	pieces         map[int]piece
}

type piece struct {
	digest weights.Digest
	length int64
}

// open begins an order. An engine that checks tokens refuses an old one and
// drops the open orders of older tokens.
func (engine *Engine) open(body orderRequest) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkToken(body.FencingToken); refused != nil {
		return refused
	}
	if body.OrderID == "" || body.Version == "" || body.Size <= 0 {
		return &refusal{status: 400, Code: codeMalformed}
	}
	if engine.find(body.OrderID) != nil {
		return nil
	}
	if len(engine.orders) == maxOpenOrders {
		engine.orders = slices.Delete(engine.orders, 0, 1)
	}
	engine.orders = append(engine.orders, &order{
		token:          body.FencingToken,
		orderID:        body.OrderID,
		manifestDigest: body.ManifestDigest,
		version:        body.Version,
		size:           body.Size,
		pieces:         map[int]piece{},
	})
	return nil
}

func (engine *Engine) checkToken(token int64) *refusal {
	if engine.faults.RefuseTokens && token < engine.highestToken {
		return &refusal{status: 409, Code: codeStaleToken}
	}
	engine.highestToken = max(engine.highestToken, token)
	if engine.faults.RefuseTokens {
		engine.orders = slices.DeleteFunc(engine.orders, func(open *order) bool { return open.token < token })
	}
	return nil
}

func (engine *Engine) find(orderID string) *order {
	for _, open := range engine.orders {
		if open.orderID == orderID {
			return open
		}
	}
	return nil
}

// add stores a piece; one that arrives again replaces its first copy.
func (engine *Engine) add(orderID string, index int, content []byte) *refusal {
	digest := weights.Sum(content)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	open := engine.find(orderID)
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

// commit starts the load. New requests are refused until it has ended.
func (engine *Engine) commit(orderID string, token int64) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkToken(token); refused != nil {
		return refused
	}
	if engine.serving.orderID == orderID || engine.order != nil && engine.order.orderID == orderID {
		return nil
	}
	open := engine.find(orderID)
	switch {
	case open == nil:
		return &refusal{status: 409, Code: codeUnknownOrder}
	case !open.whole():
		return &refusal{status: 409, Code: codeIncomplete}
	case engine.order != nil:
		return &refusal{status: 503, Code: codeLoading, RetryAfterMS: engine.settings.LoadTime.Milliseconds()}
	}
	engine.orders = slices.DeleteFunc(engine.orders, func(other *order) bool { return other == open })
	engine.order = open
	engine.record.ordered(open, time.Now())
	go engine.loadVersion(open)
	return nil
}

// whole reports whether the pieces 0 to n hold exactly the announced size.
func (open *order) whole() bool {
	for index := range len(open.pieces) {
		if _, present := open.pieces[index]; !present {
			return false
		}
	}
	return open.bytes == open.size
}

// piecesDigest is the BLAKE3 hash of the piece digests in order. With one chunk
// for each piece it can be computed from a manifest.
func (open *order) piecesDigest() weights.Digest {
	joined := make([]byte, 0, len(open.pieces)*weights.DigestBytes)
	for index := range len(open.pieces) {
		digest := open.pieces[index].digest
		joined = append(joined, digest[:]...)
	}
	return weights.Sum(joined)
}

// loadVersion waits for the running requests, then takes the load time. A load
// that fails does so half-way.
func (engine *Engine) loadVersion(loading *order) {
	for !engine.idle() {
		if !engine.pause(engine.settings.Step) {
			return
		}
	}
	if !engine.pause(engine.settings.LoadTime / 2) {
		return
	}
	if engine.failLoad(loading) {
		return
	}
	if !engine.pause(engine.settings.LoadTime / 2) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.order = nil
	engine.failedOrder = ""
	engine.cache.clear()
	engine.serve(content{
		version:        loading.version,
		manifestDigest: loading.manifestDigest,
		orderID:        loading.orderID,
		whole:          loading.whole(),
	}, time.Now())
	engine.logger.Info("version loaded", zap.String("version", loading.version), zap.String("order_id", loading.orderID))
}

func (engine *Engine) idle() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.active)+len(engine.waiting) == 0
}

func (engine *Engine) failLoad(loading *order) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.faults.FailLoad {
		return false
	}
	engine.order = nil
	engine.failedOrder = loading.orderID
	if engine.faults.LoseVersion {
		engine.serving = content{}
	}
	engine.logger.Info("load failed", zap.String("order_id", loading.orderID))
	return true
}

// pause waits for the time and for the end of a freeze.
func (engine *Engine) pause(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return engine.hold(time.Now())
	case <-engine.ctx.Done():
		return false
	}
}
