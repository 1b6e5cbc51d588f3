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

// storedContractJSON is the JSON output of "contract show": a contract with its revision, on which a change is based.
type storedContractJSON struct {
	Revision    uint64          `json:"revision"`
	Author      string          `json:"author"`
	Time        string          `json:"time"`
	OperationID string          `json:"operation_id"`
	Contract    json.RawMessage `json:"contract"`
}

func newStoredContractJSON(s operator.StoredContract) (storedContractJSON, error) {
	body, err := s.Contract().Encode()
	v := s.Value()
	return storedContractJSON{uint64(s.Revision()), v.Author, v.Time.UTC().Format(time.RFC3339), v.OperationID, body}, err
}

// contractFileJSON is the input form of an edited storedContractJSON.
type contractFileJSON struct {
	Revision    int64                `json:"revision" min:"0"`
	Author      string               `json:"author"`
	Time        string               `json:"time"`
	OperationID string               `json:"operation_id"`
	Contract    strictjson.RawObject `json:"contract"`
}

// contractFile is a contract read from a file, with the revision on which it is based if the file names one.
type contractFile struct {
	contract contract.Contract
	base     store.Revision
	hasBase  bool
}

// readContractFile reads a file with a bare contract or with the JSON output of "contract show".
func readContractFile(file string) (contractFile, error) {
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
	raw, source := strictjson.Decode[contractFileJSON](file, data)
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
