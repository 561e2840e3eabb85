package routed

import (
	"go.uber.org/zap"

	"firford/lib/platform"
)

// applyEvacuations keeps requests away from the evacuated data centres, and tells agents,
// from which entries hear of it that are cut off from the store.
func (entry *entry) applyEvacuations(dataCentres []string, position platform.Position, heardBy string) {
	changes := entry.queue.SetEvacuations(dataCentres)
	fields := []zap.Field{zap.Int64("epoch", position.Epoch), zap.Int64("revision", position.Revision), zap.String("heard_by", heardBy)}
	for _, dataCentre := range changes.Began {
		named := append([]zap.Field{zap.String("data_centre", dataCentre)}, fields...)
		if _, isKnown := entry.settings.Regions[dataCentre]; !isKnown {
			entry.logger.Warn("evacuation of an unknown data centre", named...)
			continue
		}
		entry.logger.Info("evacuation began", named...)
	}
	for _, dataCentre := range changes.Ended {
		entry.logger.Info("evacuation ended", append([]zap.Field{zap.String("data_centre", dataCentre)}, fields...)...)
	}
	entry.metrics.Scope.Gauge("evacuated_data_centres").Update(float64(len(dataCentres)))
	entry.loadListener.NotifyEvacuations()
}
