// Package finding collects validation findings with their file and line, so that all of them are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation finding of an input.
type Finding struct {
	file    string
	line    int
	path    string
	message string
	allowed string
}

// New returns a finding for a field path such as "backend.slots".
func New(path, message, allowed string) Finding {
	return Finding{path: path, message: message, allowed: allowed}
}

// At returns a copy of the finding with a file name and a line; line 0 means that the line is unknown.
func (f Finding) At(file string, line int) Finding {
	f.file = file
	f.line = line
	return f
}

// File returns the name of the input.
func (f Finding) File() string { return f.file }

// Line returns the line in the input, counted from 1, or 0 when it is unknown.
func (f Finding) Line() int { return f.line }

// Path returns the field path in the input.
func (f Finding) Path() string { return f.path }

// Message describes the problem.
func (f Finding) Message() string { return f.message }

// Allowed describes the allowed values, or is empty.
func (f Finding) Allowed() string { return f.allowed }

// String formats the finding as "file:line: path: message (allowed: ...)".
func (f Finding) String() string {
	var b strings.Builder
	if f.file != "" {
		b.WriteString(f.file)
		if f.line > 0 {
			fmt.Fprintf(&b, ":%d", f.line)
		}
		b.WriteString(": ")
	}
	if f.path != "" {
		b.WriteString(f.path)
		b.WriteString(": ")
	}
	b.WriteString(f.message)
	if f.allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.allowed)
	}
	return b.String()
}

// List is a collection of findings; the zero value is empty and ready to use.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) { l.findings = append(l.findings, f) }

// Addf appends a finding for a field path, without a file and with a formatted message.
func (l *List) Addf(path, allowed, format string, args ...any) {
	l.Add(New(path, fmt.Sprintf(format, args...), allowed))
}

// Append appends all findings of another list.
func (l *List) Append(o List) { l.findings = append(l.findings, o.findings...) }

// All returns the findings in the order in which they were added.
func (l *List) All() []Finding { return l.findings }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Err returns nil if the list is empty, and otherwise an *Error.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{list: *l}
}

// Error is the error for a list with at least one finding.
type Error struct {
	list List
}

// Findings returns the findings in the order in which they were added.
func (e *Error) Findings() []Finding { return e.list.findings }

// Error returns all findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.list.findings))
	for _, f := range e.list.findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
