// Package explain builds the timeline of a flow or request from the logs of several processes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrNotFound means that no log line contains the id of the flow or request.
const ErrNotFound = errors.ConstError("no log line contains this id")

// maxLineBytes is the maximum length of a log line; Read fails at a longer one.
const maxLineBytes = 1 << 20

// Fields of a log line.
const (
	fieldTime      = "@timestamp"
	fieldMessage   = "@message"
	fieldLevel     = "@level"
	fieldModule    = "@module"
	fieldProcess   = "process"
	fieldFlow      = "flow"
	fieldRequestID = "request_id"
)

// stateMessages are the messages that report a change of the state of a process, with the fields that identify the part
// of the state that changed.
var stateMessages = map[string][]string{
	"configuration in force": nil,
	"zone state":             {"zone"},
	"agent state":            {"agent"},
	"agent dropped":          {"agent"},
	"backend server state":   nil,
	"backend server leaves":  nil,
	"store does not answer":  {"prefix"},
	"store answers again":    {"prefix"},
	"entry written":          nil,
	"started":                nil,
	"serving":                nil,
	"graceful shutdown":      nil,
	"log lines dropped":      nil,
}

// Line is one log line.
type Line struct {
	// Time is when the process wrote the line, by its own clock.
	Time time.Time `json:"time"`
	// ClockShift is added to Time if the clock of the host is behind, so that the cause comes before the effect.
	ClockShift time.Duration `json:"shift_ns"`
	// Process is the process that wrote the line.
	Process string `json:"process"`
	// Message is the event text.
	Message string `json:"message"`
	// Fields are the other fields of the line, such as the inputs and the outcome of a decision.
	Fields map[string]any `json:"fields"`
	// ProcessState is true if the line is not about the flow but shows the state of the process at that time.
	ProcessState bool `json:"belief"`
}

// Timeline holds the log lines of a flow, preceded by the state of the processes.
type Timeline struct {
	Flow     string   `json:"flow"`
	Requests []string `json:"requests"`
	Lines    []Line   `json:"lines"`
	// Unreadable is the number of input lines that are not log lines.
	Unreadable int `json:"unreadable"`
}

// Log holds the lines of several processes; the zero value is empty.
type Log struct {
	lines      []Line
	unreadable int
}

// Read adds the lines of a log. It ignores text before the JSON object of a line. name is the process of lines without a
// process field.
func (l *Log) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line, err := parse(name, s.Bytes())
		if err != nil {
			l.unreadable++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return errors.Annotatef(s.Err(), "cannot read %s", name)
}

func parse(name string, b []byte) (Line, error) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, errors.New("no JSON object")
	}
	var fields map[string]any
	if err := json.Unmarshal(b[start:], &fields); err != nil {
		return Line{}, errors.Trace(err)
	}
	text := func(key string) string {
		v, _ := fields[key].(string)
		delete(fields, key)
		return v
	}
	line := Line{Message: text(fieldMessage), Process: text(fieldProcess), Fields: fields}
	t, err := time.Parse(time.RFC3339Nano, text(fieldTime))
	if err != nil || line.Message == "" {
		return Line{}, errors.New("no time or message")
	}
	line.Time = t
	text(fieldLevel)
	text(fieldModule)
	if line.Process == "" {
		line.Process = name
	}
	return line, nil
}

func (l Line) field(key string) string {
	v, _ := l.Fields[key].(string)
	return v
}

// Timeline returns the timeline of the flow with an id, or of the flow that carried the request with that id.
func (l *Log) Timeline(id string) (Timeline, error) {
	t := Timeline{Flow: id, Unreadable: l.unreadable}
	for _, line := range l.lines {
		if line.field(fieldRequestID) == id && line.field(fieldFlow) != "" {
			t.Flow = line.field(fieldFlow)
		}
	}
	for _, line := range l.lines {
		if line.field(fieldFlow) != t.Flow {
			continue
		}
		t.Lines = append(t.Lines, line)
		if r := line.field(fieldRequestID); r != "" && !slices.Contains(t.Requests, r) {
			t.Requests = append(t.Requests, r)
		}
	}
	if len(t.Lines) == 0 {
		return Timeline{}, errors.Annotatef(ErrNotFound, "%q", id)
	}
	correctClocks(t.Lines)
	sortByTime(t.Lines)
	t.Lines = append(l.statesBefore(t.Lines), t.Lines...)
	return t, nil
}

// correctClocks shifts the lines of processes whose clock is behind: no process can log a line about a flow
// before the first balancer has placed the flow.
func correctClocks(lines []Line) {
	cause, ok := firstPlaced(lines)
	if !ok {
		return
	}
	behind := make(map[string]time.Duration)
	for _, l := range lines {
		if d := cause.Time.Sub(l.Time); l.Process != cause.Process && d > behind[l.Process] {
			behind[l.Process] = d
		}
	}
	for i := range lines {
		lines[i].ClockShift = behind[lines[i].Process]
	}
}

// firstPlaced returns the line about the placement of the first packet of the flow. A balancer that received a
// retransmission logs a higher number of copies.
func firstPlaced(lines []Line) (first Line, ok bool) {
	for _, l := range lines {
		if l.Message == "flow placed" && (!ok || l.copies() < first.copies()) {
			first, ok = l, true
		}
	}
	return first, ok
}

// copies returns the number of copies of the packet that the caller had sent before.
func (l Line) copies() float64 {
	n, _ := l.Fields["copies"].(float64)
	return n
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Add(a.ClockShift).Compare(b.Time.Add(b.ClockShift)) })
}

// statesBefore returns the state of each process in the timeline at the time of its first line there.
func (l *Log) statesBefore(timeline []Line) []Line {
	first := make(map[string]Line)
	for _, line := range timeline {
		if f, ok := first[line.Process]; !ok || line.Time.Before(f.Time) {
			first[line.Process] = line
		}
	}
	newest := make(map[string]Line)
	for _, line := range l.lines {
		idFields, ok := stateMessages[line.Message]
		f, known := first[line.Process]
		if !ok || !known || line.Time.After(f.Time) {
			continue
		}
		parts := append(make([]string, 0, 2+len(idFields)), line.Process, line.Message)
		for _, name := range idFields {
			parts = append(parts, line.field(name))
		}
		key := strings.Join(parts, "\x00")
		if old, ok := newest[key]; !ok || !line.Time.Before(old.Time) {
			line.ProcessState, line.ClockShift = true, f.ClockShift
			newest[key] = line
		}
	}
	all := make([]Line, 0, len(newest))
	for _, line := range newest {
		if line.Message != "agent state" || mentionsAgent(line, timeline) {
			all = append(all, line)
		}
	}
	slices.SortFunc(all, func(a, b Line) int { return strings.Compare(a.Process+a.Message, b.Process+b.Message) })
	sortByTime(all)
	return all
}

// mentionsAgent reports whether a line of the timeline contains the address of the agent.
func mentionsAgent(agent Line, timeline []Line) bool {
	address := agent.field("address")
	return slices.ContainsFunc(timeline, func(l Line) bool {
		return address != "" && (l.field("agent") == address || l.field("to") == address)
	})
}

// Write writes the timeline as text, with times relative to the first line about the flow. A ~ marks process states.
func (t Timeline) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s", t.Flow)
	if len(t.Requests) > 0 {
		fmt.Fprintf(&b, ", requests %s", strings.Join(t.Requests, ", "))
	}
	b.WriteByte('\n')
	var zero time.Time
	for _, l := range t.Lines {
		if !l.ProcessState {
			zero = l.Time.Add(l.ClockShift)
			break
		}
	}
	for _, l := range t.Lines {
		mark := " "
		if l.ProcessState {
			mark = "~"
		}
		at := l.Time.Add(l.ClockShift).Sub(zero)
		fmt.Fprintf(&b, "%s %+10.1f ms  %-20s %s%s", mark, float64(at)/float64(time.Millisecond), l.Process, l.Message, l.fieldText())
		if l.ClockShift > 0 {
			fmt.Fprintf(&b, " (clock behind by %s)", l.ClockShift.Round(time.Millisecond))
		}
		b.WriteByte('\n')
	}
	if t.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines of the input are not log lines\n", t.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Trace(err)
}

// fieldText returns the fields as text, sorted by name.
func (l Line) fieldText() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != fieldFlow {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
