package transfers

// Live requests have priority over transfers. The agent reports the bandwidth and
// latency of live requests, and the rate of transfers is reduced in two steps:
// the bandwidth of live traffic is subtracted from the link's rate, and while
// latency is raised the rest is multiplied by a scale that shrinks quickly and
// recovers slowly. Strict priorities in the network were rejected, because hosts
// have no control over the network.

const (
	raisedLatencyRatio = 1.1
	shrinkFactor       = 0.8
	recoveryStep       = 0.05
	minLiveScale       = 0.25
	minTransferShare   = 0.05
)

// SetLiveLoad adapts the rates of transfers to live traffic. Call it about once a
// second: each call with a raised latency reduces the scale of the rates by a
// fifth, down to a quarter, and each other call raises it by a twentieth of the
// full rate.
func (node *Node) SetLiveLoad(load LiveLoad) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if load.LatencyRatio > raisedLatencyRatio {
		node.liveScale = max(minLiveScale, node.liveScale*shrinkFactor)
	} else {
		node.liveScale = min(1, node.liveScale+recoveryStep)
	}
	limits := node.dependencies.Limits
	node.upload.setRate(transferRate(limits.UploadBytesPerS, limits.LinkShare, load.BytesPerS, node.liveScale))
	node.download.setRate(transferRate(limits.DownloadBytesPerS, limits.LinkShare, load.BytesPerS, node.liveScale))
}

// transferRate returns the rate that transfers may use of a link. A small share is
// always left to them, so that transfers complete on a busy host, too.
func transferRate(link int64, share float64, live int64, scale float64) float64 {
	available := min(float64(link)*share, float64(link-live))
	return max(available*scale, float64(link)*minTransferShare)
}
