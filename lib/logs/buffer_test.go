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

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open  chan struct{}
	mutex sync.Mutex
	text  bytes.Buffer
}

func (writer *blockedWriter) Write(text []byte) (int, error) {
	<-writer.open
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return writer.text.Write(text)
}

func (writer *blockedWriter) String() string {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return writer.text.String()
}

// Guards against requests that block while nothing reads the log, and against
// lines that are dropped without being counted.
func TestBufferNeverBlocksAndCountsDroppedLines(t *testing.T) {
	convey.Convey("Given an output whose writes block", t, func() {
		output := &blockedWriter{open: make(chan struct{})}
		buffer := NewBuffer(output)
		logger, err := NewTo("info", "entry-1", buffer)
		convey.So(err, convey.ShouldBeNil)
		startedAt := time.Now()
		for range 2 * bufferLines {
			logger.Info("request ended", zap.Int("status", 200))
		}
		convey.So(time.Since(startedAt), convey.ShouldBeLessThan, 10*time.Second)
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

// Guards against a process that was told to stop and does not end, because nobody reads its
// log.
func TestSyncEndsAlthoughTheLogIsNotRead(t *testing.T) {
	convey.Convey("Given an output whose writes block, and a line that waits for it, the wait for it ends", t, func() {
		output := &blockedWriter{open: make(chan struct{})}
		defer close(output.open)
		buffer := NewBuffer(output)
		_, _ = buffer.Write([]byte("line\n"))
		ended := make(chan error, 1)
		go func() { ended <- buffer.Sync() }()
		select {
		case err := <-ended:
			convey.So(err, convey.ShouldNotBeNil)
		case <-time.After(10 * time.Second):
			t.Error("the wait does not end")
		}
	})
}
