package transfers

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against hosts that stay incomplete or read more than one copy together.
func TestBurst(t *testing.T) {
	convey.Convey("Twelve hosts that start together all hold the version", t, func() {
		all := newFleet(t, 12)
		all.startAll()
		manifest := all.origin.publish("v1", seeds(0, 60)...)
		all.want(all.target(manifest), all.everyone()...)
		all.wait(manifest, all.everyone()...)
		for _, node := range all.nodes {
			for index, digest := range manifest.Chunks {
				content, held := node.Chunk(digest)
				offset, length := manifest.Span(index)
				convey.So(held && bytes.Equal(content, all.origin.content["v1"][offset:offset+length]), convey.ShouldBeTrue)
			}
		}
	})
}
