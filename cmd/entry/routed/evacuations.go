package routed

import (
	"go.uber.org/zap"

	"firford/lib/platform"
)

// applyEvacuations keeps requests away from the evacuated data centres, and tells agents,
// from which entries hear of it that are cut off from the store.
func (entry *entry) applyEvacuations(dataCentres []string, position platform.Position, heardBy string) {
	changes := entry.queue.SetEvacuations(dataCentres)
	logger := entry.logger.With(zap.Int64("epoch", position.Epoch), zap.Int64("revision", position.Revision), zap.String("heard_by", heardBy))
	for _, dataCentre := range changes.Began {
		if entry.isKnownDataCentre(dataCentre) {
			logger.Info("evacuation began", zap.String("data_centre", dataCentre))
		} else {
			logger.Warn("evacuation of an unknown data centre", zap.String("data_centre", dataCentre))
		}
	}
	for _, dataCentre := range changes.Ended {
		logger.Info("evacuation ended", zap.String("data_centre", dataCentre))
	}
	for _, change := range changes.Cold {
		entry.logCold(change)
	}
	entry.metrics.Scope.Gauge("evacuated_data_centres").Update(float64(len(dataCentres)))
	entry.loadListener.NotifyEvacuations()
}

// isKnownDataCentre reports whether the settings name the data centre. No server is in an
// unknown one, so that its evacuation has no effect.
func (entry *entry) isKnownDataCentre(dataCentre string) bool {
	_, isKnown := entry.settings.Regions[dataCentre]
	return isKnown
}
