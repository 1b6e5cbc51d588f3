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

// AllowedAddress and AllowedIP describe addresses in findings.
const (
	AllowedAddress = "IP address and port, such as 10.0.0.1:443"
	AllowedIP      = "IP address, such as 10.0.0.1"
)

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

// fieldsOf lists the fields of a struct; those of embedded structs count as its own.
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

// allowed says what a missing field holds.
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

// bounds are the least and greatest whole number that a field allows.
type bounds struct {
	least    int64
	greatest int64
}

func boundsOf(tag reflect.StructTag) bounds {
	b := bounds{least: math.MinInt64, greatest: math.MaxInt64}
	if n, err := strconv.ParseInt(tag.Get("min"), 10, 64); err == nil {
		b.least = n
	}
	if n, err := strconv.ParseInt(tag.Get("max"), 10, 64); err == nil {
		b.greatest = n
	}
	return b
}

func (b bounds) hold(n int64) bool { return n >= b.least && n <= b.greatest }

func (b bounds) allowed() string {
	switch {
	case b.greatest != math.MaxInt64 && b.least == math.MinInt64:
		return fmt.Sprintf("at most %d", b.greatest)
	case b.greatest != math.MaxInt64:
		return fmt.Sprintf("%d to %d", b.least, b.greatest)
	case b.least != math.MinInt64:
		return fmt.Sprintf("%d or more", b.least)
	}
	return "a whole number"
}
