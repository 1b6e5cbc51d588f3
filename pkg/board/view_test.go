package board_test

import (
	"fmt"
	"testing"

	_ "github.com/bramleymast/bramleymast/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// Guards against Views returning other members than View does for each service.
func TestViewsEqualsView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b board.Board
		merge := func(kind board.Kind, key string, v board.Version, value board.Value) {
			_, err := b.Merge(board.Record{ID: board.ID{Kind: kind, Key: key}, Version: v, Value: value})
			assert.NilError(t, err)
		}
		services, zones := []string{"orders", "catalogue"}, []string{"a", "b"}
		for i, s := range services {
			c, findings := contract.Decode("", fmt.Appendf(nil, `{"service":%q,"addresses":["127.0.0.1:1"],"zones":["a"],
				"backend":{"slots":1},"cold_start":{"slots":1},"change":{"min_backends_in_service":1}}`, s))
			assert.Equal(t, findings.Len(), 0)
			merge(board.KindContract, s, board.Version{Seq: uint64(i + 1)}, board.Contract{Contract: c})
		}
		merge(board.KindZone, "a", board.Version{Seq: 3},
			board.Zone{Availability: contract.NewAvailability(rapid.Bool().Draw(t, "zone out"), "", "")})
		for i := range rapid.IntRange(0, 6).Draw(t, "agents") {
			id := fmt.Sprintf("agent%d", i)
			merge(board.KindAgent, id, board.Version{
				Epoch: 1, Liveness: rapid.SampledFrom([]board.Liveness{board.Alive, board.Suspect, board.Dead}).Draw(t, "liveness"),
			}, board.Agent{
				Service: rapid.SampledFrom(services).Draw(t, "service"),
				Zone:    rapid.SampledFrom(zones).Draw(t, "zone"),
				Phase:   board.Phase(rapid.IntRange(int(board.PhaseCold), int(board.PhaseLeft)).Draw(t, "phase")),
			})
			merge(board.KindBackend, id, board.Version{Seq: 4},
				board.Backend{Availability: contract.NewAvailability(rapid.Bool().Draw(t, "backend out"), "", "")})
		}
		closed := rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "closed zone")
		views := b.Views(func(_, zone string) bool { return zone == closed })
		assert.Equal(t, len(views), len(services))
		for _, s := range services {
			want := b.View(s, func(zone string) bool { return zone == closed })
			assert.Equal(t, fmt.Sprint(views[s].Members()), fmt.Sprint(want.Members()))
		}
	})
}
