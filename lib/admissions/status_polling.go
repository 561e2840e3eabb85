package admissions

import (
	"time"

	"go.uber.org/zap"
)

// pollStatus requests the backend server's status at regular intervals, and at once
// after updateAdmission, until the queue is closed.
func (queue *Queue) pollStatus() {
	defer close(queue.stopped)
	ticker := time.NewTicker(queue.dependencies.Limits.StatusInterval)
	defer ticker.Stop()
	for {
		queue.readStatus()
		queue.cancelOrphans()
		select {
		case <-ticker.C:
		case <-queue.pollNow:
		case <-queue.lifetime.Done():
			return
		}
	}
}

func (queue *Queue) readStatus() {
	queue.mutex.Lock()
	epoch := queue.scheduler.admission.epoch
	queue.mutex.Unlock()
	status, err := queue.dependencies.Backend.Status(queue.lifetime)
	if err != nil {
		if queue.lifetime.Err() == nil {
			queue.markUnreachable(err)
		}
		return
	}
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.slots = max(status.Slots, 1)
	queue.setAdmission(now, queue.scheduler.admission.WithStatus(status, epoch))
}

// markUnreachable refuses new requests until a status request is answered.
func (queue *Queue) markUnreachable(err error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.scheduler.admission.reachable {
		queue.dependencies.Logger.Warn("backend server unreachable", zap.Error(err))
	}
	queue.setAdmission(time.Now(), queue.scheduler.admission.WithUnreachable())
}

// setAdmission replaces the admission state. It refuses the waiting requests if the
// new state refuses requests, and starts waiting attempts otherwise. The caller
// holds the lock.
func (queue *Queue) setAdmission(now time.Time, state admissionState) {
	previous := queue.scheduler.admission
	queue.scheduler.admission = state
	if previous.refusalCode() != state.refusalCode() {
		queue.dependencies.Logger.Info("admission changed", zap.String("refusing", state.refusalCode()),
			zap.String("intended", state.intendedVersion), zap.String("stated", state.reportedVersion))
		if queue.dependencies.OnAdmissionChange != nil {
			queue.dependencies.OnAdmissionChange(state.refusalCode())
		}
	}
	queue.scheduler.refuseAllIfClosed(now)
	queue.dispatch(now)
}

// cancelOrphans cancels idempotent attempts that have had no subscriber for
// OrphanTimeout, for example because their entry has failed. Non-idempotent attempts
// continue, because they can't be run again and callers may still ask for their
// outcome.
func (queue *Queue) cancelOrphans() {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for _, attempt := range queue.scheduler.attempts {
		orphan := attempt.phase != phaseEnded && attempt.request.Idempotent && len(attempt.subscribers) == 0
		if orphan && now.Sub(attempt.unsubscribedAt) > queue.dependencies.Limits.OrphanTimeout {
			queue.scheduler.cancel(now, attempt.request.AttemptID)
		}
	}
}
