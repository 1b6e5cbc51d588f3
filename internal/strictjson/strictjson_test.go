package strictjson_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/strictjson"
)

type inner struct {
	Count int  `json:"count" check:"required" min:"1"`
	On    bool `json:"on"`
}

type sample struct {
	inner
	Names  []string             `json:"names" max:"2"`
	Deep   *inner               `json:"deep"`
	Object strictjson.RawObject `json:"object"`
	Hidden string
}

// Guards against accepting inputs that a lenient decoder accepts, and against findings with a wrong line.
func TestDecodeIsStrict(t *testing.T) {
	for name, c := range map[string]struct{ input, findings string }{
		"valid":                   {`{"count": 1, "on": true, "names": ["x"], "deep": {"count": 2}}`, ""},
		"empty input":             {"", "f:1: is not JSON: the input ends too early (allowed: one JSON object)"},
		"trailing comma":          {"{\n\"count\": 1,\n}", "f:3: is not JSON: invalid character '}' looking for beginning of object key string (allowed: one JSON object)"},
		"not UTF-8":               {"{\n\"names\": [\"\xff\"]}", "f:2: is not valid UTF-8 (allowed: JSON in UTF-8)"},
		"name in another case":    {`{"Count": 1, "count": 1}`, "f:1: Count: is not a known field (allowed: count, on, names, deep, object)"},
		"field without JSON name": {`{"count": 1, "Hidden": "x"}`, "f:1: Hidden: is not a known field (allowed: count, on, names, deep, object)"},
		"null":                    {`{"count": null}`, "f:1: count: is null (allowed: 1 or more)"},
		"too many items":          {`{"count": 1, "names": ["a", "b", "c"]}`, "f:1: names: has 3 items (allowed: at most 2 items)"},
		"missing in an object":    {"{\"count\": 1,\n\"deep\": {}}", "f:2: deep.count: is missing (allowed: 1 or more)"},
		"twice, in two lines":     {"{\"count\": 1,\n\"count\": 2}", "f:2: count: is given twice, first on line 1 (allowed: each field once)"},
		"nested too deeply":       {`{"x": ` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + "}", "f:1: is nested too deeply"},
	} {
		t.Run(name, func(t *testing.T) {
			_, source := strictjson.Decode[sample]("f", []byte(c.input))
			list := source.Findings()
			if c.findings == "" {
				assert.NilError(t, list.Err())
				return
			}
			assert.Error(t, list.Err(), c.findings)
		})
	}
}

// Guards against findings in a separately decoded object whose lines differ from those of the input.
func TestObjectKeepsItsLines(t *testing.T) {
	v, source := strictjson.Decode[sample]("f", []byte("{\"count\": 1,\n\"object\":\n{\"count\": 0,\n\"x\": 1}}"))
	found := source.Findings()
	assert.NilError(t, found.Err())
	_, objectSource := strictjson.Decode[inner]("f", v.Object)
	list := objectSource.Findings()
	assert.Error(t, list.Err(), "f:3: count: is 0 (allowed: 1 or more)\nf:4: x: is not a known field (allowed: count, on)")
}
