package transfers

// Live requests go before transfers. The agent reports what they need, and the
// transfers give way in two steps: the bytes of live traffic are taken off the
// link's rate, and while latency is raised the rest shrinks by a factor and
// recovers slowly. Strict priorities in the network were dropped because hosts
// have no control over it.

const (
	raisedLatency   = 1.1
	shrinkFactor    = 0.8
	recoverStep     = 0.05
	leastLiveScale  = 0.25
	leastTotalShare = 0.05
)

// SetLiveLoad adapts the rates to live traffic. Call it about once a second:
// each call with a raised latency shrinks the rate of transfers by a fifth, to a
// quarter at the least, and each other call lets it grow by a twentieth.
func (node *Node) SetLiveLoad(load LiveLoad) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if load.LatencyRatio > raisedLatency {
		node.liveScale = max(leastLiveScale, node.liveScale*shrinkFactor)
	} else {
		node.liveScale = min(1, node.liveScale+recoverStep)
	}
	limits := node.given.Limits
	node.upload.setRate(transferRate(limits.UploadBytesPerS, limits.LinkShare, load.BytesPerS, node.liveScale))
	node.download.setRate(transferRate(limits.DownloadBytesPerS, limits.LinkShare, load.BytesPerS, node.liveScale))
}

// transferRate returns what is left of a link for transfers. A small part stays
// theirs, so that a busy host still completes.
func transferRate(link int64, share float64, live int64, scale float64) float64 {
	available := min(float64(link)*share, float64(link-live))
	return max(available*scale, float64(link)*leastTotalShare)
}
