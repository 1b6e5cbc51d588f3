// Package strictjson decodes JSON and reports all deviations from the expected type together, with their lines.
//
// Struct tags state what a field allows: `json` gives its name, `check:"required"` makes its absence and
// its emptiness a finding, and `min` and `max` bound a whole number or, for a list, the number of its items.
// Names match exactly, null is never a value, and fields without a `json` name are not read.
package strictjson

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/bramleymast/bramleymast/pkg/finding"
)

// AllowedDescriber is a text value that says which values it allows.
type AllowedDescriber interface {
	encoding.TextUnmarshaler
	// Allowed returns the allowed values in words.
	Allowed() string
}

// RawObject is an object that another package decodes: the input in which all around the object is blank,
// so that findings in it have the lines of the input.
type RawObject []byte

// Source is the input of one decoding: its file name, the lines of its fields and the findings so far.
type Source struct {
	file     string
	data     []byte
	lines    map[string]int
	findings finding.List
	unread   bool // the input is not a JSON object, so nothing is known of its fields
}

// Decode reads one JSON object into a value of type T; the value is complete only when the source has no findings.
func Decode[T any](file string, data []byte) (T, *Source) {
	var v T
	s := &Source{file: file, data: data, lines: make(map[string]int)}
	n := s.parse(data)
	s.unread = n == nil || !n.isObject()
	if n != nil {
		s.value("", n, reflect.ValueOf(&v).Elem(), "")
	}
	return v, s
}

// Addf appends a finding at the line of a field path, or of the nearest object around it.
func (s *Source) Addf(path, allowed, format string, args ...any) {
	s.add(s.line(path), path, fmt.Sprintf(format, args...), allowed)
}

// File returns the name of the input.
func (s *Source) File() string { return s.file }

// Findings returns what was found, sorted by line.
func (s *Source) Findings() finding.List {
	all := slices.Clone(s.findings.All())
	slices.SortStableFunc(all, func(a, b finding.Finding) int { return a.Line() - b.Line() })
	var sorted finding.List
	for _, f := range all {
		sorted.Add(f)
	}
	return sorted
}

// Valid reports whether nothing has been found at or under a field path, so that its value can be checked further.
func (s *Source) Valid(path string) bool {
	return !s.unread && !slices.ContainsFunc(s.findings.All(), func(f finding.Finding) bool {
		return f.Path() == path || strings.HasPrefix(f.Path(), path+".") || strings.HasPrefix(f.Path(), path+"[")
	})
}

// Has reports whether the input holds a field path.
func (s *Source) Has(path string) bool {
	_, ok := s.lines[path]
	return ok
}

func (s *Source) add(line int, path, message, allowed string) {
	s.findings.Add(finding.New(path, message, allowed).At(s.file, line))
}

func (s *Source) line(path string) int {
	for {
		if line, ok := s.lines[path]; ok {
			return line
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return s.lines[""]
		}
		path = path[:i]
	}
}

// value stores a node in v and adds a finding where it does not fit.
func (s *Source) value(path string, n *node, v reflect.Value, tag reflect.StructTag) {
	s.lines[path] = n.line
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.text(path, n, text)
		return
	}
	if raw, ok := v.Addr().Interface().(*RawObject); ok {
		*raw = s.cut(path, n)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		s.value(path, n, v.Elem(), tag)
	case reflect.Struct:
		s.object(path, n, v)
	case reflect.Slice:
		s.list(path, n, v, tag)
	case reflect.String:
		s.str(path, n, v, tag)
	case reflect.Int, reflect.Int64:
		s.number(path, n, v, tag)
	case reflect.Bool:
		b, ok := n.token.(bool)
		if !ok {
			s.wrongType(path, n, "true or false")
		}
		v.SetBool(b)
	default:
		panic("strictjson: no rule for type " + v.Type().String())
	}
}

// cut returns the input with blanks around an object.
func (s *Source) cut(path string, n *node) RawObject {
	if !n.isObject() {
		s.wrongType(path, n, "an object")
		return nil
	}
	raw := make(RawObject, len(s.data))
	for i, c := range s.data {
		switch {
		case i >= n.start && i < n.end, c == '\n':
			raw[i] = c
		default:
			raw[i] = ' '
		}
	}
	return raw
}

func (s *Source) wrongType(path string, n *node, allowed string) {
	s.add(n.line, path, "is "+n.kind(), allowed)
}

func (s *Source) text(path string, n *node, v encoding.TextUnmarshaler) {
	allowed := allowedText(v)
	t, ok := n.token.(string)
	if !ok {
		s.wrongType(path, n, allowed)
		return
	}
	if t == "" {
		s.add(n.line, path, "is empty", allowed)
		return
	}
	if err := v.UnmarshalText([]byte(t)); err != nil {
		s.add(n.line, path, fmt.Sprintf("is %q", t), allowed)
	}
}

func (s *Source) str(path string, n *node, v reflect.Value, tag reflect.StructTag) {
	t, ok := n.token.(string)
	if !ok {
		s.wrongType(path, n, "a string")
		return
	}
	if t == "" && required(tag) {
		s.add(n.line, path, "is empty", "a string that is not empty")
	}
	v.SetString(t)
}

func (s *Source) number(path string, n *node, v reflect.Value, tag reflect.StructTag) {
	b := boundsOf(tag)
	t, ok := n.token.(json.Number)
	if !ok {
		s.wrongType(path, n, b.allowed())
		return
	}
	i, err := strconv.ParseInt(t.String(), 10, 64)
	if err != nil || !b.hold(i) {
		s.add(n.line, path, "is "+t.String(), b.allowed())
		return
	}
	v.SetInt(i)
}

func (s *Source) list(path string, n *node, v reflect.Value, tag reflect.StructTag) {
	if !n.isArray() {
		s.wrongType(path, n, "a list")
		return
	}
	if len(n.items) == 0 && required(tag) {
		s.add(n.line, path, "is empty", "at least one item")
	}
	if b := boundsOf(tag); len(n.items) > 0 && !b.hold(int64(len(n.items))) {
		s.add(n.line, path, fmt.Sprintf("has %d items", len(n.items)), b.allowed()+" items")
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		s.value(ItemPath(path, i), item, v.Index(i), `check:"required"`)
	}
}

func (s *Source) object(path string, n *node, v reflect.Value) {
	if !n.isObject() {
		s.wrongType(path, n, "an object")
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]int)
	for _, m := range n.members {
		at := join(path, m.name)
		if first, ok := seen[m.name]; ok {
			s.add(m.line, at, fmt.Sprintf("is given twice, first on line %d", first), "each field once")
			continue
		}
		seen[m.name] = m.line
		f, ok := fields.find(m.name)
		if !ok {
			s.add(m.line, at, "is not a known field", strings.Join(fields.names(), ", "))
			continue
		}
		s.value(at, m.value, v.FieldByIndex(f.index), f.tag)
	}
	for _, f := range fields {
		if _, ok := seen[f.name]; !ok && required(f.tag) {
			s.add(n.line, join(path, f.name), "is missing", f.allowed())
		}
	}
}

// ItemPath returns the field path of a list item.
func ItemPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
