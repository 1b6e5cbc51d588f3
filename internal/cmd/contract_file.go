package cmd

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/finding"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// shownJSON is a contract with the revision from which a change of it is made, as contract show prints it.
type shownJSON struct {
	Revision    uint64          `json:"revision"`
	Author      string          `json:"author"`
	Time        string          `json:"time"`
	OperationID string          `json:"operation_id"`
	Contract    json.RawMessage `json:"contract"`
}

func newShown(s operator.StoredContract) (shownJSON, error) {
	body, err := s.Contract().Encode()
	v := s.Value()
	return shownJSON{uint64(s.Revision()), v.Author, v.Time.UTC().Format(time.RFC3339), v.OperationID, body}, err
}

// fileJSON is the form in which an edited shownJSON is read.
type fileJSON struct {
	Revision    int64                `json:"revision" min:"0"`
	Author      string               `json:"author"`
	Time        string               `json:"time"`
	OperationID string               `json:"operation_id"`
	Contract    strictjson.RawObject `json:"contract"`
}

// contractFile is a contract read from a file, with the revision from which it was made if the file names one.
type contractFile struct {
	contract contract.Contract
	base     store.Revision
	hasBase  bool
}

// readContract reads a contract, bare or as contract show prints it in JSON.
func readContract(file string) (contractFile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return contractFile{}, errors.Annotate(err, "cannot read the contract")
	}
	var shape struct {
		Contract json.RawMessage `json:"contract"`
	}
	if json.Unmarshal(data, &shape) != nil || shape.Contract == nil {
		c, findings := contract.Decode(file, data)
		return contractFile{contract: c}, findings.Err()
	}
	raw, source := strictjson.Decode[fileJSON](file, data)
	var findings finding.List
	findings.Append(source.Findings())
	f := contractFile{base: store.Revision(raw.Revision), hasBase: source.Has("revision")}
	if source.Valid("contract") {
		c, found := contract.Decode(file, raw.Contract)
		findings.Append(found)
		f.contract = c
	}
	return f, findings.Err()
}
