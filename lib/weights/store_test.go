package weights

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

// filledChunk returns a chunk of equal bytes and its digest.
func filledChunk(value byte, size int) (Digest, []byte) {
	content := make([]byte, size)
	for i := range content {
		content[i] = value
	}
	return Sum(content), content
}

// Guards against content that is stored without verification, memory above the
// limit, and the eviction of chunks that a target still needs.
func TestStore(t *testing.T) {
	convey.Convey("Given a store for three chunks", t, func() {
		store := NewStore(30)
		first, content := filledChunk(1, 10)
		convey.Convey("content with another digest is rejected", func() {
			other, _ := filledChunk(2, 10)
			convey.So(store.Put(other, content), convey.ShouldEqual, ErrWrongDigest)
			convey.So(store.Bytes(), convey.ShouldEqual, 0)
		})
		convey.Convey("unclaimed chunks are evicted, oldest first, and claimed chunks stay", func() {
			store.Claim("plant", []Digest{first})
			for value := byte(1); value <= 5; value++ {
				digest, content := filledChunk(value, 10)
				convey.So(store.Put(digest, content), convey.ShouldBeNil)
				convey.So(store.Bytes(), convey.ShouldBeLessThanOrEqualTo, store.Limit())
			}
			_, held := store.Get(first)
			convey.So(held, convey.ShouldBeTrue)
			second, _ := filledChunk(2, 10)
			_, held = store.Get(second)
			convey.So(held, convey.ShouldBeFalse)
		})
		convey.Convey("a store that is full of claimed chunks rejects another chunk", func() {
			var all []Digest
			for value := byte(1); value <= 4; value++ {
				digest, _ := filledChunk(value, 10)
				all = append(all, digest)
			}
			store.Claim("plant", all)
			for value := byte(1); value <= 3; value++ {
				digest, content := filledChunk(value, 10)
				convey.So(store.Put(digest, content), convey.ShouldBeNil)
			}
			fourth, content := filledChunk(4, 10)
			convey.So(store.Put(fourth, content), convey.ShouldEqual, ErrStoreFull)
			convey.So(store.Bytes(), convey.ShouldEqual, 30)
		})
		convey.Convey("a chunk claimed by two owners stays until both release it", func() {
			store.Claim("a", []Digest{first})
			store.Claim("b", []Digest{first})
			convey.So(store.Put(first, content), convey.ShouldBeNil)
			store.Claim("a", nil)
			big, bigContent := filledChunk(9, 25)
			convey.So(store.Put(big, bigContent), convey.ShouldEqual, ErrStoreFull)
			store.Claim("b", nil)
			convey.So(store.Put(big, bigContent), convey.ShouldBeNil)
		})
	})
}

// Guards against bitmaps that decode to another set than was encoded: hosts would
// then disagree about who has a chunk.
func TestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 200).Draw(t, "size")
		chosen := rapid.SliceOf(rapid.IntRange(0, size-1)).Draw(t, "chosen")
		set := NewSet(size).With(chosen...)
		decoded, err := DecodeSet(set.Encode(), size)
		if err != nil {
			t.Fatal(err)
		}
		distinct := map[int]bool{}
		for _, index := range chosen {
			distinct[index] = true
			if !decoded.Has(index) || decoded.Without(index).Has(index) {
				t.Fatalf("chunk %d", index)
			}
		}
		if decoded.Count() != len(distinct) || len(set.Indices()) != len(distinct) || set.Minus(decoded).Count() != 0 {
			t.Fatalf("%d chunks instead of %d", decoded.Count(), len(distinct))
		}
		if _, err := DecodeSet(set.Encode(), size+8); err == nil {
			t.Fatalf("a bitmap of another size was decoded")
		}
	})
}
