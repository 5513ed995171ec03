package parser

import "github.com/tailscale/hujson"

// The methods in this file read a document without adding findings, for use after the document
// has been checked. All of them accept a nil Node.

// Member returns the named field of an object, or nil if the node is not an object or has no
// such field.
func (n *Node) Member(name string) *Node {
	if n == nil {
		return nil
	}
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for _, member := range object.Members {
		if member.Name.Value.(hujson.Literal).String() == name {
			return &Node{
				doc:   n.doc,
				value: member.Value,
			}
		}
	}
	return nil
}

// Items returns the elements of an array, or nil if the node is not an array.
func (n *Node) Items() []*Node {
	if n == nil {
		return nil
	}
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return nil
	}
	nodes := make([]*Node, len(array.Elements))
	for i, element := range array.Elements {
		nodes[i] = &Node{
			doc:   n.doc,
			value: element,
		}
	}
	return nodes
}

// Text returns the value of a string, or "" if the node is not a string.
func (n *Node) Text() string {
	if n == nil {
		return ""
	}
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}

// HasFinding reports whether one of the findings, which are about a document with the same
// content, is within the node.
func (n *Node) HasFinding(findings Findings) bool {
	if n == nil {
		return false
	}
	for _, finding := range findings {
		if n.value.StartOffset <= finding.offset && finding.offset < n.value.EndOffset {
			return true
		}
	}
	return false
}
