package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// maxDepth limits the recursion over nested values; the formats of this project have at most four levels.
const maxDepth = 32

// node is a JSON value. Its line is that of the end of its first token.
type node struct {
	line    int
	start   int        // offset of the first byte of an object
	end     int        // offset after the last byte of an object
	token   json.Token // json.Delim for objects and arrays, otherwise the scalar
	members []member   // of an object, in input order
	items   []*node    // of an array
}

type member struct {
	name  string
	line  int
	value *node
}

// kind returns the JSON type of the value for messages.
func (n *node) kind() string {
	switch n.token.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case json.Delim:
		if n.isArray() {
			return "a list"
		}
		return "an object"
	}
	return "a value"
}

func (n *node) isArray() bool { return n.token == json.Delim('[') }

func (n *node) isObject() bool { return n.token == json.Delim('{') }

// parser builds the tree of nodes of an input and counts its lines.
type parser struct {
	data   []byte
	dec    *json.Decoder
	offset int
	line   int
}

// parse checks the syntax and returns the tree of the first value, or nil if the input has no valid one.
func (s *Source) parse(data []byte) *node {
	if !utf8.Valid(data) {
		s.add(invalidLine(data), "", "is not valid UTF-8", "JSON in UTF-8")
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		s.add(syntaxLine(data, err), "", syntaxMessage(err), "one JSON object")
		return nil
	}
	end := int(d.InputOffset())
	if rest := bytes.TrimLeft(data[end:], " \t\r\n"); len(rest) > 0 {
		s.add(lineAt(data, len(data)-len(rest)), "", "has data after the JSON value", "one JSON object")
	}
	p := &parser{data: data[:end], dec: json.NewDecoder(bytes.NewReader(data[:end])), line: 1}
	p.dec.UseNumber()
	n, err := p.value(0)
	if err != nil {
		s.add(p.line, "", err.Error(), "")
		return nil
	}
	return n
}

var errDepth = errors.New("is nested too deeply")

func (p *parser) value(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errDepth
	}
	t, err := p.next()
	if err != nil {
		return nil, err
	}
	n := &node{line: p.line, token: t}
	switch {
	case n.isObject():
		n.start = p.offset - 1
		err = p.object(n, depth)
		n.end = p.offset
	case n.isArray():
		err = p.array(n, depth)
	}
	return n, err
}

func (p *parser) object(n *node, depth int) error {
	for p.dec.More() {
		t, err := p.next()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		m := member{name: name, line: p.line}
		if m.value, err = p.value(depth + 1); err != nil {
			return err
		}
		n.members = append(n.members, m)
	}
	_, err := p.next()
	return err
}

func (p *parser) array(n *node, depth int) error {
	for p.dec.More() {
		item, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, err := p.next()
	return err
}

func (p *parser) next() (json.Token, error) {
	t, err := p.dec.Token()
	offset := int(p.dec.InputOffset())
	p.line += bytes.Count(p.data[p.offset:offset], []byte{'\n'})
	p.offset = offset
	return t, err
}

func syntaxLine(data []byte, err error) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 {
		return lineAt(data, int(syntax.Offset)-1)
	}
	return lineAt(data, len(data))
}

func syntaxMessage(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return "is not JSON: " + strings.TrimPrefix(syntax.Error(), "json: ")
	}
	return "is not JSON: the input ends too early"
}

func invalidLine(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return lineAt(data, i)
		}
		i += size
	}
	return 0
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte{'\n'})
}
