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

// session returns every message and decision of a run in which processes start, a zone is taken out, an agent fails,
// a relay fails and an agent leaves.
func session() string {
	var lines []string
	c := controltest.New(controltest.Config{Seed: 21, Log: func(line string) { lines = append(lines, line) }})
	section := func(what string) { lines = append(lines, "", "# "+what) }
	section("three balancers and two agents start")
	populate(c, 1, 3, 2)
	c.Run(3 * time.Second)
	section("an operator takes zone a out")
	c.Store.PutZone("a", true)
	c.Run(time.Second)
	section("agent a1 is killed")
	find(c, "a1").Stop()
	c.Run(9 * time.Second)
	section("the relay is killed, and an operator brings zone a back")
	c.Store.Holder("a").Stop()
	rev := c.Store.PutZone("a", false)
	c.RunUntil(30*time.Second, zoneReached(c, "a", uint64(rev)))
	section("agent a2 leaves")
	find(c, "a2").SetPhase(board.PhaseLeft)
	c.Run(time.Second)
	return strings.Join(lines, "\n") + "\n"
}

// Guards against decisions that change unnoticed, and against a run that cannot be reproduced.
// Update the golden file with: go test ./pkg/membership -run TestGoldenSession -update.
func TestGoldenSession(t *testing.T) {
	first := session()
	assert.Equal(t, first, session())
	golden.Assert(t, first, "session.golden")
}
