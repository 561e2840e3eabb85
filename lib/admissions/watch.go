package admissions

import (
	"time"

	"go.uber.org/zap"
)

// watch asks the backend server for its status regularly, and at once after a
// change of the gate.
func (queue *Queue) watch() {
	defer close(queue.stopped)
	ticker := time.NewTicker(queue.dependencies.Limits.StatusInterval)
	defer ticker.Stop()
	for {
		queue.readStatus()
		queue.cancelOrphans()
		select {
		case <-ticker.C:
		case <-queue.poll:
		case <-queue.lifetime.Done():
			return
		}
	}
}

func (queue *Queue) readStatus() {
	queue.mutex.Lock()
	epoch := queue.ledger.gate.epoch
	queue.mutex.Unlock()
	status, err := queue.dependencies.Backend.Status(queue.lifetime)
	if err != nil {
		if queue.lifetime.Err() == nil {
			queue.unreachable(err)
		}
		return
	}
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.ledger.slots = max(status.Slots, 1)
	queue.apply(now, queue.ledger.gate.WithStatus(status, epoch))
}

// unreachable closes the gate until a status is answered.
func (queue *Queue) unreachable(err error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.ledger.gate.reachable {
		queue.dependencies.Logger.Warn("backend server unreachable", zap.Error(err))
	}
	queue.apply(time.Now(), queue.ledger.gate.WithUnreachable())
}

// apply replaces the gate, refuses what waits where it has closed, and starts
// what waits where it has opened. The caller holds the lock.
func (queue *Queue) apply(now time.Time, after gate) {
	before := queue.ledger.gate
	queue.ledger.gate = after
	if before.closed() != after.closed() {
		queue.dependencies.Logger.Info("admission changed", zap.String("refusing", after.closed()),
			zap.String("intended", after.intended), zap.String("stated", after.stated))
		if queue.dependencies.OnAdmissionChange != nil {
			queue.dependencies.OnAdmissionChange(after.closed())
		}
	}
	queue.ledger.flush(now)
	queue.dispatch(now)
}

// cancelOrphans ends idempotent attempts that nobody has waited for lately, for
// example because their entry has failed. Others go on, because their outcome
// can still be asked for.
func (queue *Queue) cancelOrphans() {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for _, running := range queue.ledger.attempts {
		orphan := running.phase != phaseEnded && running.request.Idempotent && len(running.followers) == 0
		if orphan && now.Sub(running.followed) > queue.dependencies.Limits.OrphanTimeout {
			queue.ledger.cancel(now, running.request.AttemptID)
		}
	}
}
