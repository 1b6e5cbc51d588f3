package board_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

func zoneRecord(zone string, revision uint64, out bool) board.Record {
	return board.Record{
		ID:      board.ID{Kind: board.KindZone, Key: zone},
		Version: board.Version{Seq: revision},
		Value:   board.Zone{Availability: contract.NewAvailability(out, "", "")},
	}
}

// Guards against a record that reverts when old messages arrive late, twice or out of order.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "n")
		order := rapid.SliceOfN(rapid.IntRange(1, n), 1, 60).Draw(t, "order")
		var b board.Board
		highest := uint64(0)
		for _, revision := range order {
			highest = max(highest, uint64(revision))
			_, err := b.Merge(zoneRecord("a", uint64(revision), revision%2 == 0))
			assert.NilError(t, err)
			out, seen := b.ZoneOut("a")
			assert.Equal(t, seen, highest)
			assert.Equal(t, out, highest%2 == 0)
		}
	})
}

// Guards against a record whose value is of another kind than its ID.
func TestMergeRejectsWrongKind(t *testing.T) {
	var b board.Board
	r := zoneRecord("a", 1, true)
	r.ID.Kind = board.KindContract
	_, err := b.Merge(r)
	assert.ErrorIs(t, err, board.ErrKindMismatch)
	assert.Equal(t, len(b.Records()), 0)
}
