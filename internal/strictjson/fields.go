package strictjson

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
)

// Descriptions of allowed addresses in findings.
const (
	AllowedAddress = "IP address and port, such as 10.0.0.1:443"
	AllowedIP      = "IP address, such as 10.0.0.1"
)

// allowedText describes the allowed values of a text field.
func allowedText(v encoding.TextUnmarshaler) string {
	switch v := v.(type) {
	case AllowedDescriber:
		return v.Allowed()
	case *netip.AddrPort:
		return AllowedAddress
	case *netip.Addr:
		return AllowedIP
	}
	return "a string"
}

type field struct {
	name  string
	index []int
	tag   reflect.StructTag
	typ   reflect.Type
}

type fields []field

// fieldsOf returns the fields of a struct that have a JSON name, including those of embedded structs.
func fieldsOf(t reflect.Type) fields {
	var fs fields
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		fs = append(fs, field{name: name, index: f.Index, tag: f.Tag, typ: f.Type})
	}
	return fs
}

func (fs fields) find(name string) (field, bool) {
	for _, f := range fs {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func (fs fields) names() []string {
	names := make([]string, 0, len(fs))
	for _, f := range fs {
		names = append(names, f.name)
	}
	return names
}

// allowed describes the allowed values of a missing field.
func (f field) allowed() string {
	if text, ok := reflect.New(f.typ).Interface().(encoding.TextUnmarshaler); ok {
		return allowedText(text)
	}
	switch f.typ.Kind() {
	case reflect.Slice:
		return "a list with at least one item"
	case reflect.Struct:
		return "an object with " + strings.Join(fieldsOf(f.typ).names(), ", ")
	case reflect.Int, reflect.Int64:
		return boundsOf(f.tag).allowed()
	default:
		return "a string that is not empty"
	}
}

func required(tag reflect.StructTag) bool { return tag.Get("check") == "required" }

// bounds are the minimum and maximum of a whole number or of the length of a list.
type bounds struct {
	min int64
	max int64
}

func boundsOf(tag reflect.StructTag) bounds {
	b := bounds{min: math.MinInt64, max: math.MaxInt64}
	if n, err := strconv.ParseInt(tag.Get("min"), 10, 64); err == nil {
		b.min = n
	}
	if n, err := strconv.ParseInt(tag.Get("max"), 10, 64); err == nil {
		b.max = n
	}
	return b
}

func (b bounds) contains(n int64) bool { return n >= b.min && n <= b.max }

func (b bounds) allowed() string {
	switch {
	case b.max != math.MaxInt64 && b.min == math.MinInt64:
		return fmt.Sprintf("at most %d", b.max)
	case b.max != math.MaxInt64:
		return fmt.Sprintf("%d to %d", b.min, b.max)
	case b.min != math.MinInt64:
		return fmt.Sprintf("%d or more", b.min)
	}
	return "a whole number"
}
