// Package explain tells the story of one flow or request from the logs of several processes.
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

// ErrNotFound means that no line names the flow or request.
const ErrNotFound = errors.ConstError("no line of the logs names it")

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

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

// beliefs are the messages after which a process believes something else, with the fields that tell apart what the
// belief is about.
var beliefs = map[string][]string{
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
	// ClockShift is what was added to Time to put cause before effect; clocks differ between hosts.
	ClockShift time.Duration `json:"shift_ns"`
	// Process is the process that wrote the line.
	Process string `json:"process"`
	// Message says what happened.
	Message string `json:"message"`
	// Fields are the inputs and the outcome.
	Fields map[string]any `json:"fields"`
	// ProcessState says that the line is not about the flow but about what the process believed by then.
	ProcessState bool `json:"belief"`
}

// Timeline is what the logs say of one flow.
type Timeline struct {
	Flow     string   `json:"flow"`
	Requests []string `json:"requests"`
	Lines    []Line   `json:"lines"`
	// Unreadable is the number of lines that are not log lines.
	Unreadable int `json:"unreadable"`
}

// Log holds the lines of several processes; the zero value is empty.
type Log struct {
	lines      []Line
	unreadable int
}

// Read adds the lines of a log. Text before the JSON object of a line is ignored; name is the process of lines that
// name none.
func (l *Log) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// Timeline returns the story of the flow, or of the flow that carried the request, with an id.
func (l *Log) Timeline(id string) (Timeline, error) {
	s := Timeline{Flow: id, Unreadable: l.unreadable}
	for _, line := range l.lines {
		if line.field(fieldRequestID) == id && line.field(fieldFlow) != "" {
			s.Flow = line.field(fieldFlow)
		}
	}
	for _, line := range l.lines {
		if line.field(fieldFlow) != s.Flow {
			continue
		}
		s.Lines = append(s.Lines, line)
		if r := line.field(fieldRequestID); r != "" && !slices.Contains(s.Requests, r) {
			s.Requests = append(s.Requests, r)
		}
	}
	if len(s.Lines) == 0 {
		return Timeline{}, errors.Annotatef(ErrNotFound, "%q", id)
	}
	shift(s.Lines)
	sortByTime(s.Lines)
	s.Lines = append(l.beliefsBefore(s.Lines), s.Lines...)
	return s, nil
}

// shift moves the lines of processes whose clock is behind: no process can have seen a flow before the first balancer
// placed it.
func shift(lines []Line) {
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

// firstPlaced returns the line about the first packet of the flow: a copy that another balancer got comes later.
func firstPlaced(lines []Line) (first Line, ok bool) {
	for _, l := range lines {
		if l.Message == "flow placed" && (!ok || l.copies() < first.copies()) {
			first, ok = l, true
		}
	}
	return first, ok
}

// copies returns how many copies the caller had sent before.
func (l Line) copies() float64 {
	n, _ := l.Fields["copies"].(float64)
	return n
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Add(a.ClockShift).Compare(b.Time.Add(b.ClockShift)) })
}

// beliefsBefore returns what each process of a story believed when its first line of the story was written.
func (l *Log) beliefsBefore(story []Line) []Line {
	first := make(map[string]Line)
	for _, s := range story {
		if f, ok := first[s.Process]; !ok || s.Time.Before(f.Time) {
			first[s.Process] = s
		}
	}
	newest := make(map[string]Line)
	for _, line := range l.lines {
		about, ok := beliefs[line.Message]
		f, known := first[line.Process]
		if !ok || !known || line.Time.After(f.Time) {
			continue
		}
		parts := append(make([]string, 0, 2+len(about)), line.Process, line.Message)
		for _, a := range about {
			parts = append(parts, line.field(a))
		}
		key := strings.Join(parts, "\x00")
		if old, ok := newest[key]; !ok || !line.Time.Before(old.Time) {
			line.ProcessState, line.ClockShift = true, f.ClockShift
			newest[key] = line
		}
	}
	all := make([]Line, 0, len(newest))
	for _, line := range newest {
		if line.Message != "agent state" || named(line, story) {
			all = append(all, line)
		}
	}
	slices.SortFunc(all, func(a, b Line) int { return strings.Compare(a.Process+a.Message, b.Process+b.Message) })
	sortByTime(all)
	return all
}

// named reports whether the story names the address of an agent.
func named(agent Line, story []Line) bool {
	address := agent.field("address")
	return slices.ContainsFunc(story, func(l Line) bool {
		return address != "" && (l.field("agent") == address || l.field("to") == address)
	})
}

// Write writes the story as text, one line for each step, with times relative to the first line about the flow.
func (s Timeline) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s", s.Flow)
	if len(s.Requests) > 0 {
		fmt.Fprintf(&b, ", requests %s", strings.Join(s.Requests, ", "))
	}
	b.WriteByte('\n')
	var zero time.Time
	for _, l := range s.Lines {
		if !l.ProcessState {
			zero = l.Time.Add(l.ClockShift)
			break
		}
	}
	for _, l := range s.Lines {
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
	if s.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines of the input are not log lines\n", s.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Trace(err)
}

// fieldText returns the fields in the order of their names.
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
