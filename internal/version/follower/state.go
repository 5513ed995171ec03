package follower

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// maxVerdicts is the number of recent verdicts that a State retains, so that
// publishers can look up theirs.
const maxVerdicts = 256

// State is the result of replaying the settings stream up to Version. It is
// immutable: Apply, ApplyDocument and Restore return a new State.
type State struct {
	// Version is the offset of the last applied record plus 1, or the version of
	// the last applied document or snapshot.
	Version   int64
	documents map[string]*encoder.Document
	verdicts  []*encoder.Verdict
	settings  *describer.Settings
}

// NewState returns the state before the first record, with version 0.
func NewState() State {
	return State{
		documents: make(map[string]*encoder.Document),
		settings: &describer.Settings{
			Services: make(map[describer.ServiceName]describer.Service),
			Teams:    make(map[string]describer.Team),
			Hosts:    make(map[string]describer.HostTable),
		},
	}
}

// Settings returns the typed settings in force.
func (s State) Settings() *describer.Settings {
	return s.settings
}

// Document returns the document at path, or nil.
func (s State) Document(path string) *encoder.Document {
	return s.documents[path]
}

// Documents returns all documents sorted by path.
func (s State) Documents() []*encoder.Document {
	documents := slices.Collect(maps.Values(s.documents))
	sort.Slice(documents, func(i, j int) bool {
		return documents[i].GetPath() < documents[j].GetPath()
	})
	return documents
}

// Verdict returns the verdict on a publication, or nil if there is none or it
// is no longer retained.
func (s State) Verdict(publicationID string) *encoder.Verdict {
	for _, verdict := range s.verdicts {
		if verdict.GetPublicationId() == publicationID {
			return verdict
		}
	}
	return nil
}

// Apply returns the state after the record at offset, which must equal s.Version.
// publication is nil if the record holds none; then only the version changes.
//
// A publication is accepted if its base version is the current version of its path
// and its document has no findings. Because versions only increase, a publication
// that was appended twice is accepted at most once.
func (s State) Apply(offset int64, publication *encoder.Publication) State {
	next := s
	next.Version = offset + 1
	next.settings = s.settings.Copy()
	next.settings.Version = next.Version
	if publication == nil || s.Verdict(publication.GetId()) != nil {
		return next
	}
	verdict := &encoder.Verdict{
		PublicationId: publication.GetId(),
		Version:       next.Version,
	}
	document, reason := s.checkPublication(publication)
	verdict.Detail = reason
	verdict.Accepted = reason == ""
	next.verdicts = append(slices.Clone(s.verdicts), verdict)
	if len(next.verdicts) > maxVerdicts {
		next.verdicts = next.verdicts[len(next.verdicts)-maxVerdicts:]
	}
	if !verdict.Accepted {
		return next
	}
	next.documents = maps.Clone(s.documents)
	next.documents[publication.GetPath()] = &encoder.Document{
		Path:          publication.GetPath(),
		Version:       next.Version,
		Content:       publication.GetDocument(),
		Author:        publication.GetAuthor(),
		TimeUnixNano:  publication.GetTimeUnixNano(),
		PublicationId: publication.GetId(),
	}
	next.put(document)
	return next
}

// checkPublication returns the typed document of a publication. If the publication
// is rejected, it returns the reason instead.
func (s State) checkPublication(publication *encoder.Publication) (checker.Document, string) {
	current := s.documents[publication.GetPath()].GetVersion()
	if publication.GetBaseVersion() != current {
		return checker.Document{}, conflictDetail(publication, s.documents[publication.GetPath()])
	}
	path, err := checker.ParsePath(publication.GetPath())
	if err != nil {
		return checker.Document{}, err.Error()
	}
	document, findings := checker.Check(publication.GetPath(), path, publication.GetDocument())
	if len(findings) > 0 {
		return checker.Document{}, findings.Error()
	}
	return document, ""
}

// put stores a typed document in s.settings. No other State may share s.settings.
func (s State) put(document checker.Document) {
	if document.Service != nil {
		s.settings.Services[document.Service.Name] = *document.Service
	}
	if document.Team != nil {
		s.settings.Teams[document.Team.Name] = *document.Team
	}
	if document.Hosts != nil {
		s.settings.Hosts[document.Hosts.Team] = *document.Hosts
	}
}

// Size returns the size of all documents in bytes.
func (s State) Size() int {
	size := 0
	for _, document := range s.documents {
		size += len(document.GetContent())
	}
	return size
}

// Position returns the highest position in the operator's table of all documents, or 0 if
// none comes from there. Documents of nodes that know no eras count as those of era 0.
func (s State) Position() int64 {
	highest := int64(0)
	for _, document := range s.documents {
		if document.GetPosition() > 0 {
			era := max(int64(document.GetStoreEra())-1, 0)
			highest = max(highest, logclient.Position(era, document.GetPosition()))
		}
	}
	return highest
}

// ApplyDocument returns the state after a document that its source has already
// accepted as the given version. position is the one after its record. If the version
// is not newer than s.Version, it returns s.
func (s State) ApplyDocument(version int64, path checker.Path, content []byte, position int64) (State, error) {
	if version <= s.Version {
		return s, nil
	}
	era, offset := logclient.SplitPosition(position)
	return s.Restore(&encoder.Snapshot{
		Covers: version,
		Base:   s.Version,
		Documents: []*encoder.Document{{
			Path:     path.String(),
			Version:  version,
			Content:  content,
			Position: offset,
			StoreEra: uint64(era) + 1,
		}},
	})
}

// Snapshot returns a snapshot of the documents and verdicts that are newer than
// version since. If since is 0, the snapshot is complete.
func (s State) Snapshot(since int64) *encoder.Snapshot {
	snapshot := &encoder.Snapshot{
		Covers: s.Version,
		Base:   since,
	}
	for _, document := range s.Documents() {
		if document.GetVersion() > since {
			snapshot.Documents = append(snapshot.Documents, document)
		}
	}
	for _, verdict := range s.verdicts {
		if verdict.GetVersion() > since {
			snapshot.Verdicts = append(snapshot.Verdicts, verdict)
		}
	}
	return snapshot
}

// Restore returns the state of the snapshot. An incremental snapshot, whose base
// is above 0, is merged into s. Restore returns s if the snapshot is not newer than
// s, and if its base is newer than s, because the changes between would be missing.
// If the snapshot has an invalid document, it returns s and the error.
func (s State) Restore(snapshot *encoder.Snapshot) (State, error) {
	if snapshot.GetCovers() <= s.Version || snapshot.GetBase() > s.Version {
		return s, nil
	}
	next := NewState()
	if snapshot.GetBase() > 0 {
		next.documents = maps.Clone(s.documents)
		next.verdicts = slices.Clone(s.verdicts)
		next.settings = s.settings.Copy()
	}
	next.Version = snapshot.GetCovers()
	next.settings.Version = next.Version
	next.verdicts = append(next.verdicts, snapshot.GetVerdicts()...)
	for _, document := range snapshot.GetDocuments() {
		path, err := checker.ParsePath(document.GetPath())
		if err != nil {
			return s, err
		}
		typed, findings := checker.Decode(document.GetPath(), path, document.GetContent())
		if err := findings.Err(); err != nil {
			return s, err
		}
		next.documents[document.GetPath()] = document
		next.put(typed)
	}
	return next, nil
}

// DecodeRecord decodes the payload of one record of the settings stream.
func DecodeRecord(payload []byte) (*encoder.Record, error) {
	record := &encoder.Record{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return nil, err
	}
	if record.GetKind() == nil {
		return nil, errEmptyRecord
	}
	return record, nil
}
