// Package analyzer finds entries of settings documents that can never match and limits that
// contradict each other. Each document may be valid on its own; the checker reports errors.
//
// # Usage
//
//	path, err := checker.ParsePath("/county/hosts")
//	document := analyzer.Read("hosts.jsonc", path, content)
//	findings := analyzer.Analyze([]*analyzer.Document{document})
//	for _, finding := range findings { ... }
package analyzer

import (
	"fmt"
	"slices"

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// Severity is the importance of a finding.
type Severity string

// The severities.
const (
	// Error is the severity of findings that prevent a publication.
	Error Severity = "error"
	// Warning is the severity of entries that have no effect or contradict each other.
	Warning Severity = "warning"
)

// Finding is one error or warning about a document, with its position.
type Finding struct {
	parser.Finding
	Severity Severity `json:"severity"`
}

// String returns the finding in the form file:line:column: message. The message of a warning
// begins with "warning: ".
func (f Finding) String() string {
	if f.Severity == Warning {
		return fmt.Sprintf("%s:%d:%d: warning: %s", f.File, f.Line, f.Column, f.Message)
	}
	return f.Finding.String()
}

// Findings holds the findings about one or more documents.
type Findings []Finding

// Convert returns the findings with a severity.
func Convert(findings parser.Findings, severity Severity) Findings {
	converted := make(Findings, len(findings))
	for i, finding := range findings {
		converted[i] = Finding{
			Finding:  finding,
			Severity: severity,
		}
	}
	return converted
}

// Sort sorts the findings by file, line and column.
func (f Findings) Sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return a.Finding.Compare(b.Finding)
	})
}

// Count returns the number of findings with a severity.
func (f Findings) Count(severity Severity) int {
	count := 0
	for _, finding := range f {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// Document is a settings document that has been read.
type Document struct {
	File string
	Path checker.Path
	// Content is incomplete if there are Errors.
	Content checker.Document
	// Errors holds the findings of the checker.
	Errors parser.Findings
	raw    []byte
	// root collects the warnings of Analyze. It is nil if the document has a syntax error.
	root *parser.Node
}

// Read checks and decodes the document at path. Findings name the document as file.
func Read(file string, path checker.Path, content []byte) *Document {
	document := &Document{
		File: file,
		Path: path,
		raw:  content,
	}
	document.Content, document.Errors = checker.Check(file, path, content)
	return document
}

// Analyze returns the errors and warnings about documents that are to be in force together,
// sorted by position. Entries with errors have no warnings, and warnings about two documents need
// both to be free of errors. Call Analyze once for each document that Read returned, because
// documents collect their warnings.
func Analyze(documents []*Document) Findings {
	set := newDocumentSet(documents)
	var findings Findings
	for _, document := range documents {
		document.root, _ = parser.Parse(document.File, document.raw)
		switch {
		case document.root == nil:
		case document.Content.Hosts != nil:
			document.analyzeOrganisations()
			document.analyzeHosts()
			set.analyzeSharedHosts(document)
		case document.Content.Service != nil:
			document.analyzeServicePaths()
			set.analyzeService(document)
		}
		findings = append(findings, Convert(document.Errors, Error)...)
		if document.root != nil {
			findings = append(findings, Convert(document.root.Findings(), Warning)...)
		}
	}
	findings.Sort()
	return findings
}

// analyzeOrganisations reports organisations without a key, and bursts that no request fits in.
func (d *Document) analyzeOrganisations() {
	organisations := make(map[string]describer.Organisation)
	for _, organisation := range d.Content.Hosts.Organisations {
		organisations[organisation.Name] = organisation
	}
	for _, node := range d.root.Member("organisations").Items() {
		if node.HasFinding(d.Errors) {
			continue
		}
		organisation := organisations[node.Member("name").Text()]
		if len(organisation.Keys) == 0 {
			node.Reportf("organisation %q has no key, so no request can belong to it; add a key digest or remove the organisation", organisation.Name)
		}
		// A missing burst is allowed, because the quota permits some requests beyond the rate
		// without one.
		if field := node.Member("burst"); field != nil && organisation.Rate > 0 && organisation.Burst < 1 {
			field.Reportf("burst of organisation %q is %g, which is less than one request; set at least 1 or remove the burst", organisation.Name, organisation.Burst)
		}
	}
}
