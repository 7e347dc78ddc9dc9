package dsrd

import (
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// DirectoryKind is the kind of the objects that list the agents beside which targets may hold open flows.
const DirectoryKind objectapi.Kind = "dsr-agents"

// Names of the objects. The list is written when it changes, the stamp every second: the list of a large deployment is too
// large for that.
const (
	directoryListName  = "list"
	directoryStampName = "stamp"
)

// storedDirectory is what the object API holds of the directory. A version is 0 where there is no object.
type storedDirectory struct {
	list         directory.List
	listVersion  uint64
	stamp        directory.Stamp
	stampVersion uint64
}

// storedDirectoryOf decodes the objects of DirectoryKind. One that cannot be decoded is logged and counts as empty: its
// version is known, so that it can be replaced.
func storedDirectoryOf(objects []objectapi.Object, log zerolog.Logger) storedDirectory {
	var s storedDirectory
	for _, o := range objects {
		var err error
		switch o.Name {
		case directoryListName:
			s.listVersion = o.Version
			s.list, err = directory.DecodeList(o.Value)
		case directoryStampName:
			s.stampVersion = o.Version
			s.stamp, err = directory.DecodeStamp(o.Value)
		}
		if err != nil {
			log.Warn().Err(err).Str("op", "read-agents").Str("name", o.Name).Msg("object with agents cannot be decoded")
		}
	}
	return s
}
