package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against failures without an error message, and against JSON output without the fields that scripts read.
func TestExplain(t *testing.T) {
	log := filepath.Join(t.TempDir(), "front-1.log")
	line := `{"@level":"info","@message":"flow placed","@timestamp":"2026-09-01T10:00:07Z","flow":"100.64.0.7:1>198.18.0.1:443","copies":0}`
	assert.NilError(t, os.WriteFile(log, []byte(line+"\n"), 0o600))
	for name, c := range map[string]struct {
		args []string
		exit int
		want string
	}{
		"flow":        {[]string{"explain", "100.64.0.7:1>198.18.0.1:443", "--log", log}, ExitSuccess, "front-1              flow placed copies=0"},
		"json":        {[]string{"explain", "100.64.0.7:1>198.18.0.1:443", "--log", log, "--output", "json"}, ExitSuccess, `"message": "flow placed"`},
		"unknown id":  {[]string{"explain", "ab12", "--log", log}, ExitFailure, "no log line contains this id"},
		"no file":     {[]string{"explain", "ab12", "--log", log + ".old"}, ExitFailure, "cannot read the log"},
		"bad output":  {[]string{"explain", "ab12", "--log", log, "--output", "xml"}, ExitBadInput, "--output"},
		"no argument": {[]string{"explain", ""}, ExitBadInput, "argument 2 is empty"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, Main(t.Context(), c.args, &out, &errOut), c.exit)
			assert.Assert(t, strings.Contains(out.String()+errOut.String(), c.want), "%s%s", &out, &errOut)
		})
	}
}
