package commander

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/version/analyzer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/comparer"
)

// comparisonReport is the JSON output of check --against.
type comparisonReport struct {
	// Source is the file, directory or node that the documents were compared with.
	Source    string               `json:"source"`
	Documents []documentComparison `json:"documents"`
}

// documentComparison is the result for one document.
type documentComparison struct {
	Path string `json:"path"`
	File string `json:"file"`
	// Status is statusCompared, statusNew or statusErrors.
	Status string `json:"status"`
	// Version is that of the document in force at a node.
	Version     int64                 `json:"version,omitempty"`
	Differences []comparer.Difference `json:"differences"`
}

// Values of documentComparison.Status.
const (
	statusCompared = "compared"
	// statusNew is the status of a document that the source does not have. Its differences are
	// those from the default settings.
	statusNew = "new"
	// statusErrors is the status of a document that was not compared because it has errors.
	statusErrors = "errors"
)

// baseDocument is a document that another one is compared with.
type baseDocument struct {
	content checker.Document
	version int64
}

// compare compares the documents with those of the source that --against names.
func (c *checkRun) compare(documents []*analyzer.Document) (*comparisonReport, error) {
	base, err := c.readBase()
	if err != nil {
		return nil, errors.Wrapf(err, "nothing was compared with %s", c.Against)
	}
	report := &comparisonReport{
		Source:    c.Against,
		Documents: []documentComparison{},
	}
	for _, document := range documents {
		report.Documents = append(report.Documents, compareDocument(document, base))
	}
	return report, nil
}

func compareDocument(document *analyzer.Document, base map[checker.Path]baseDocument) documentComparison {
	compared := documentComparison{
		Path:        document.Path.String(),
		File:        document.File,
		Status:      statusCompared,
		Differences: []comparer.Difference{},
	}
	before, exists := base[document.Path]
	compared.Version = before.version
	switch {
	case len(document.Errors) > 0:
		compared.Status = statusErrors
		return compared
	case !exists:
		compared.Status = statusNew
	}
	compared.Differences = append(compared.Differences, comparer.Compare(document.Path, before.content, document.Content)...)
	return compared
}

// readBase returns the documents of the source that --against names. A name that exists as a file or
// directory is one; otherwise it must be an address.
func (c *checkRun) readBase() (map[checker.Path]baseDocument, error) {
	info, err := os.Stat(c.Against)
	switch {
	case err == nil && info.IsDir():
		documents, findings, _, err := readTree(c.Against)
		if err == nil {
			err = findings.Err()
		}
		return newBase(documents, err)
	case err == nil && c.Path == "":
		return nil, usageErrorf("--against with a single file needs --path; give a directory to compare directories")
	case err == nil:
		document, findings, err := readFile(c.Against, c.Path)
		if err != nil || document == nil {
			return newBase(nil, errors.CombineErrors(err, findings.Err()))
		}
		return newBase([]*analyzer.Document{document}, nil)
	case !errors.Is(err, fs.ErrNotExist):
		return nil, errors.Wrap(err, "read settings")
	case !isAddress(c.Against):
		return nil, errors.Newf("%q is no file, no directory and no IP:PORT of a node", c.Against)
	}
	ctx, cancel := signalContext()
	defer cancel()
	return fetchBase(ctx, c.Against)
}

// isAddress reports whether text is a host and a port number.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, "/\\") {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// newBase returns the documents by path. It returns an error if one of them has errors, because a
// comparison with a part of a document would show false differences.
func newBase(documents []*analyzer.Document, err error) (map[checker.Path]baseDocument, error) {
	base := make(map[checker.Path]baseDocument)
	for _, document := range documents {
		err = errors.CombineErrors(err, document.Errors.Err())
		base[document.Path] = baseDocument{
			content: document.Content,
		}
	}
	if err != nil {
		return nil, baseError(err)
	}
	return base, nil
}

// baseError returns an error with the text of err that does not count as findings about the documents
// under check.
func baseError(err error) error {
	return errors.Newf("it cannot be read or has errors: %s", err)
}

// fetchBase returns the documents in force at a node.
func fetchBase(ctx context.Context, address string) (map[checker.Path]baseDocument, error) {
	var documents []administrator.Document
	if err := getJSON(ctx, address, "/settings", &documents); err != nil {
		return nil, err
	}
	if len(documents) == 0 {
		return nil, errors.Newf("node %s has no settings in force; wait until it has, or ask another node", address)
	}
	base := make(map[checker.Path]baseDocument)
	for _, document := range documents {
		path, err := checker.ParsePath(document.Path)
		if err != nil {
			return nil, errors.Wrapf(err, "settings of node %s", address)
		}
		content, findings := checker.Decode(document.Path, path, []byte(document.Content))
		if err := findings.Err(); err != nil {
			return nil, baseError(err)
		}
		base[path] = baseDocument{
			content: content,
			version: document.Version,
		}
	}
	return base, nil
}

// format returns the text output. The receiver may be nil.
func (r *comparisonReport) format() string {
	if r == nil {
		return ""
	}
	var text strings.Builder
	for _, document := range r.Documents {
		fmt.Fprintf(&text, "\n%s against %s", document.Path, r.Source)
		if document.Version > 0 {
			fmt.Fprintf(&text, " (version %d)", document.Version)
		}
		differences := "no differences"
		if len(document.Differences) > 0 {
			differences = formatCount(len(document.Differences), "difference")
		}
		switch document.Status {
		case statusErrors:
			differences = "not compared, because it has errors"
		case statusNew:
			differences = "a new document, " + differences + " from the default settings"
		}
		fmt.Fprintf(&text, ": %s\n", differences)
		for _, difference := range document.Differences {
			fmt.Fprintf(&text, "  %s\n", difference)
		}
	}
	return text.String()
}
