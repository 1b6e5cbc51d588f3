package membership_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/internal/controltest"
	"github.com/bramleymast/bramleymast/pkg/board"
)

// session runs a start, a zone taken out, an agent that dies and a relay that dies, with every message and decision.
func session() string {
	var lines []string
	w := controltest.New(controltest.Config{Seed: 21, Log: func(line string) { lines = append(lines, line) }})
	say := func(what string) { lines = append(lines, "", "# "+what) }
	say("three balancers and two agents start")
	populate(w, 1, 3, 2)
	w.Run(3 * time.Second)
	say("an operator takes zone a out")
	w.Store.PutZone("a", true)
	w.Run(time.Second)
	say("agent a1 is killed")
	find(w, "a1").Stop()
	w.Run(9 * time.Second)
	say("the relay is killed, and an operator brings zone a back")
	w.Store.Holder("a").Stop()
	rev := w.Store.PutZone("a", false)
	w.RunUntil(30*time.Second, zoneAt(w, "a", uint64(rev)))
	say("agent a2 leaves")
	find(w, "a2").SetPhase(board.PhaseLeft)
	w.Run(time.Second)
	return strings.Join(lines, "\n") + "\n"
}

// Guards against decisions that change unnoticed, and against a session that differs from run to run.
// Update the golden file with: go test ./pkg/membership -run TestGoldenSession -update.
func TestGoldenSession(t *testing.T) {
	first := session()
	assert.Equal(t, first, session())
	golden.Assert(t, first, "session.golden")
}
