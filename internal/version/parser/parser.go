// Package parser parses JSON with comments and trailing commas. It collects all
// findings of a document with their file, line and column, instead of failing at
// the first one.
//
// # Usage
//
//	root, findings := parser.Parse("allot.jsonc", content)
//	object := root.Object("slots", "routes")
//	slots := object.Int("slots", 1, 100000, 64)
//	if len(root.Findings()) > 0 { ... }
package parser

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Finding is one error in a file, with its position.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
	// offset is the position as a byte offset in the file.
	offset int
}

// String returns the finding in the form file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Compare orders findings by file, line and column.
func (f Finding) Compare(other Finding) int {
	return cmp.Or(cmp.Compare(f.File, other.File), cmp.Compare(f.Line, other.Line), cmp.Compare(f.Column, other.Column))
}

// Findings is an error that holds all findings of one or more files.
type Findings []Finding

// Error implements error. It returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort sorts the findings by file, line and column.
func (f Findings) Sort() {
	slices.SortStableFunc(f, Finding.Compare)
}

// document is a parsed file, shared by its nodes, with the findings so far.
type document struct {
	file     string
	content  []byte
	findings Findings
}

// Node is one value of a parsed document.
type Node struct {
	doc   *document
	value hujson.Value
}

// Parse parses content. If it has a syntax error, Parse returns a nil Node and one
// finding.
func Parse(file string, content []byte) (*Node, Findings) {
	doc := &document{
		file:    file,
		content: content,
	}
	value, err := hujson.Parse(content)
	if err != nil {
		doc.report(syntaxOffset(content, err), "syntax error: "+syntaxMessage(err))
		return nil, doc.findings
	}
	return &Node{
		doc:   doc,
		value: value,
	}, nil
}

// syntaxOffset returns the byte offset of a syntax error. The hujson package
// reports the position only as "line %d, column %d" in the error text.
func syntaxOffset(content []byte, err error) int {
	var line, column int
	text := err.Error()
	start := strings.Index(text, "line ")
	if start < 0 {
		return 0
	}
	if n, _ := fmt.Sscanf(text[start:], "line %d, column %d", &line, &column); n != 2 {
		return 0
	}
	offset := 0
	for ; line > 1; line-- {
		next := bytes.IndexByte(content[offset:], '\n')
		if next < 0 {
			return offset
		}
		offset += next + 1
	}
	return min(offset+column-1, len(content))
}

// syntaxMessage returns the text of a syntax error without its position. It leaves out an invalid
// literal, which may be a key without its quotes.
func syntaxMessage(err error) string {
	text := errors.UnwrapAll(err).Error()
	text = strings.TrimPrefix(text, "hujson: ")
	if strings.Contains(text, "invalid literal") {
		return "invalid literal; write strings in double quotes"
	}
	if _, rest, found := strings.Cut(text, ": "); found && strings.HasPrefix(text, "line ") {
		return rest
	}
	return text
}

func (d *document) report(offset int, message string) {
	before := d.content[:min(offset, len(d.content))]
	d.findings = append(d.findings, Finding{
		File:    d.file,
		Line:    bytes.Count(before, []byte{'\n'}) + 1,
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Message: message,
		offset:  len(before),
	})
}

// Findings returns all findings so far in the node's document.
func (n *Node) Findings() Findings {
	return n.doc.findings
}

// Reportf adds a finding at the position of the node.
func (n *Node) Reportf(format string, args ...any) {
	n.doc.report(n.value.StartOffset, fmt.Sprintf(format, args...))
}

// Object is a JSON object whose fields are read by name.
type Object struct {
	node   *Node
	fields map[string]*Node
}

// Object returns the node as an object. It reports a finding if the node is not an
// object, and one for each unknown or repeated field.
func (n *Node) Object(known ...string) Object {
	object := Object{
		node:   n,
		fields: make(map[string]*Node),
	}
	parsed, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Reportf("want an object, got %s", n.kind())
		return object
	}
	for _, member := range parsed.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := &Node{
			doc:   n.doc,
			value: member.Name,
		}
		if !contains(known, name) {
			key.Reportf("unknown field %q; known fields are %s", name, strings.Join(known, ", "))
			continue
		}
		if object.fields[name] != nil {
			key.Reportf("field %q appears twice", name)
			continue
		}
		object.fields[name] = &Node{
			doc:   n.doc,
			value: member.Value,
		}
	}
	return object
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
			return true
		}
	}
	return false
}

// Field returns the named field, or nil when it is absent.
func (o Object) Field(name string) *Node {
	return o.fields[name]
}

// Require reports a finding for each named field that is absent.
func (o Object) Require(names ...string) {
	for _, name := range names {
		if o.fields[name] == nil {
			o.node.Reportf("field %q is missing", name)
		}
	}
}

// Elements returns the elements of the named array field, or nil when it is
// absent. It reports a finding if the field is not an array.
func (o Object) Elements(name string) []*Node {
	field := o.fields[name]
	if field == nil {
		return nil
	}
	array, ok := field.value.Value.(*hujson.Array)
	if !ok {
		field.Reportf("want an array, got %s", field.kind())
		return nil
	}
	nodes := make([]*Node, len(array.Elements))
	for i, element := range array.Elements {
		nodes[i] = &Node{
			doc:   field.doc,
			value: element,
		}
	}
	return nodes
}

// String returns the named string field, or fallback when it is absent.
func (o Object) String(name, fallback string) string {
	field := o.fields[name]
	if field == nil {
		return fallback
	}
	return field.String()
}

// String returns the node as a string. If it is none, String reports a finding and
// returns "".
func (n *Node) String() string {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		n.Reportf("want a string, got %s", n.kind())
		return ""
	}
	return literal.String()
}

// OneOf returns the named string field, or fallback when it is absent. It reports
// a finding if the value is not in allowed.
func (o Object) OneOf(name, fallback string, allowed ...string) string {
	field := o.fields[name]
	if field == nil {
		return fallback
	}
	before := len(field.doc.findings)
	text := field.String()
	if len(field.doc.findings) == before && !contains(allowed, text) {
		field.Reportf("%s is %q; want one of %s", name, text, strings.Join(allowed, ", "))
	}
	return text
}

// Int returns the named field, or fallback when it is absent. It reports a finding
// and returns fallback if the value is not a whole number from low to high.
func (o Object) Int(name string, low, high, fallback int64) int64 {
	field := o.fields[name]
	if field == nil {
		return fallback
	}
	literal, ok := field.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		field.Reportf("want a whole number, got %s", field.kind())
		return fallback
	}
	number := literal.Int()
	if number == 0 && string(literal) != "0" {
		field.Reportf("%s is %s; want a whole number", name, literal)
		return fallback
	}
	if number < low || number > high {
		field.Reportf("%s is %d; want %d to %d", name, number, low, high)
		return fallback
	}
	return number
}

// Float returns the named field, or fallback when it is absent. It reports a finding and
// returns fallback if the value is not a number from low to high.
func (o Object) Float(name string, low, high, fallback float64) float64 {
	field := o.fields[name]
	if field == nil {
		return fallback
	}
	literal, ok := field.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		field.Reportf("want a number, got %s", field.kind())
		return fallback
	}
	number := literal.Float()
	if !(number >= low && number <= high) {
		field.Reportf("%s is %s; want %g to %g", name, literal, low, high)
		return fallback
	}
	return number
}

// Bool returns the named field, or fallback when it is absent. It reports a
// finding and returns fallback if the value is not a boolean.
func (o Object) Bool(name string, fallback bool) bool {
	field := o.fields[name]
	if field == nil {
		return fallback
	}
	literal, ok := field.value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		field.Reportf("want true or false, got %s", field.kind())
		return fallback
	}
	return literal.Bool()
}

// Duration returns the named field, a string such as "250ms" or "2s", or fallback
// when it is absent. It reports a finding and returns fallback if the value is not
// a duration from low to high.
func (o Object) Duration(name string, low, high, fallback time.Duration) time.Duration {
	field := o.fields[name]
	if field == nil {
		return fallback
	}
	before := len(field.doc.findings)
	text := field.String()
	if len(field.doc.findings) > before {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		field.Reportf("%s is %q; want a duration such as \"250ms\"", name, text)
		return fallback
	}
	if duration < low || duration > high {
		field.Reportf("%s is %s; want %s to %s", name, duration, low, high)
		return fallback
	}
	return duration
}

// Address returns the named field, an IP address and port, or the zero AddrPort
// when it is absent.
func (o Object) Address(name string) netip.AddrPort {
	field := o.fields[name]
	if field == nil {
		return netip.AddrPort{}
	}
	return field.Address()
}

// Address returns the node as an IP address and port. If it is none, Address
// reports a finding and returns the zero AddrPort.
func (n *Node) Address() netip.AddrPort {
	before := len(n.doc.findings)
	text := n.String()
	if len(n.doc.findings) > before {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		n.Reportf("%q is not an address; want IP:port such as 127.0.0.1:7000", text)
	}
	return address
}

func (n *Node) kind() string {
	switch n.value.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '[':
		return "an array"
	default:
		return "an object"
	}
}
