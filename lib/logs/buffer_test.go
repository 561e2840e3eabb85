package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

// gate is an output that nobody reads until it is opened.
type gate struct {
	open  chan struct{}
	mutex sync.Mutex
	text  bytes.Buffer
}

func (gate *gate) Write(text []byte) (int, error) {
	<-gate.open
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.text.Write(text)
}

func (gate *gate) String() string {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.text.String()
}

// Guards against requests that wait for whoever reads the log, and against lines
// that disappear without a word.
func TestBufferNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	convey.Convey("Given an output that stands still", t, func() {
		output := &gate{open: make(chan struct{})}
		buffer := NewBuffer(output)
		logger, err := NewTo("info", "entry-1", buffer)
		convey.So(err, convey.ShouldBeNil)
		began := time.Now()
		for range 2 * bufferLines {
			logger.Info("request ended", zap.Int("status", 200))
		}
		convey.So(time.Since(began), convey.ShouldBeLessThan, 10*time.Second)
		convey.So(buffer.Dropped(), convey.ShouldBeGreaterThan, 0)
		close(output.open)
		convey.So(buffer.Sync(), convey.ShouldBeNil)
		logger.Info("last")
		convey.So(buffer.Sync(), convey.ShouldBeNil)
		convey.So(output.String(), convey.ShouldContainSubstring, "event=\"log lines dropped\"")
		lines := strings.Count(output.String(), "event=\"request ended\"")
		convey.So(int64(lines)+buffer.Dropped(), convey.ShouldEqual, 2*bufferLines)
	})
}
