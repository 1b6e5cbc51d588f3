// Package strictjson decodes JSON and reports all deviations from the expected type at once, with their lines.
//
// Struct tags define the allowed values: `json` is the name of the field, `check:"required"` rejects a missing or empty
// field, and `min` and `max` limit a whole number or the number of items of a list. Names are case-sensitive, null is
// never allowed, and fields without a `json` name are not decoded.
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

// AllowedDescriber is a text value that describes its allowed values.
type AllowedDescriber interface {
	encoding.TextUnmarshaler
	// Allowed returns a description of the allowed values.
	Allowed() string
}

// RawObject is an object that the caller decodes separately. It holds the whole input with everything outside the object,
// except newlines, replaced by spaces, so that findings in the object have the lines of the input.
type RawObject []byte

// Source is a decoded input with its file name, the lines of its fields and the findings.
type Source struct {
	file      string
	data      []byte
	lines     map[string]int
	findings  finding.List
	notObject bool // the input is not a JSON object, so no field was decoded
}

// Decode decodes a JSON object into a value of type T. The value is complete only if the source has no findings.
func Decode[T any](file string, data []byte) (T, *Source) {
	var v T
	s := &Source{file: file, data: data, lines: make(map[string]int)}
	n := s.parse(data)
	s.notObject = n == nil || !n.isObject()
	if n != nil {
		s.value("", n, reflect.ValueOf(&v).Elem(), "")
	}
	return v, s
}

// Addf adds a finding at the line of a field path or, if the input lacks the field, of the nearest enclosing value.
func (s *Source) Addf(path, allowed, format string, args ...any) {
	s.add(s.line(path), path, fmt.Sprintf(format, args...), allowed)
}

// File returns the file name of the input.
func (s *Source) File() string { return s.file }

// Findings returns the findings, sorted by line.
func (s *Source) Findings() finding.List {
	all := slices.Clone(s.findings.All())
	slices.SortStableFunc(all, func(a, b finding.Finding) int { return a.Line() - b.Line() })
	var sorted finding.List
	for _, f := range all {
		sorted.Add(f)
	}
	return sorted
}

// Valid reports whether there are no findings at or below a field path, so that its value can be checked further.
func (s *Source) Valid(path string) bool {
	return !s.notObject && !slices.ContainsFunc(s.findings.All(), func(f finding.Finding) bool {
		return f.Path() == path || strings.HasPrefix(f.Path(), path+".") || strings.HasPrefix(f.Path(), path+"[")
	})
}

// Has reports whether the input contains a field path.
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

// value stores a node in v and adds findings where it does not match the type or the tag.
func (s *Source) value(path string, n *node, v reflect.Value, tag reflect.StructTag) {
	s.lines[path] = n.line
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.text(path, n, text)
		return
	}
	if raw, ok := v.Addr().Interface().(*RawObject); ok {
		*raw = s.isolate(path, n)
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
		panic("strictjson: unsupported type " + v.Type().String())
	}
}

// isolate returns the input with everything outside an object, except newlines, replaced by spaces.
func (s *Source) isolate(path string, n *node) RawObject {
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
	if err != nil || !b.contains(i) {
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
	if b := boundsOf(tag); len(n.items) > 0 && !b.contains(int64(len(n.items))) {
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
