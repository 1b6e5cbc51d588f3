// Package configvalue encodes and decodes the values that the platform's store holds under config/ and history/.
package configvalue

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// ErrUnknownKey means that a store key is not one of the configuration.
const ErrUnknownKey = errors.ConstError("the key is not one of the configuration")

// Prefixes of the store's keys.
const (
	Prefix          = "config/"
	ContractsPrefix = Prefix + "contracts/"
	ZonesPrefix     = Prefix + "zones/"
	BackendsPrefix  = Prefix + "backends/"
	RelayPrefix     = "relay/"
	// HistoryPrefix is outside Prefix, so that reading or watching the configuration does not read the earlier contracts.
	HistoryPrefix = "history/contracts/"
)

// MaxHistory is the number of earlier revisions that are kept of a contract.
const MaxHistory = 20

// ContractKey returns the store key of a service's contract.
func ContractKey(service string) string { return ContractsPrefix + service }

// ServiceHistoryPrefix returns the prefix of the store keys of a service's earlier contracts.
func ServiceHistoryPrefix(service string) string { return HistoryPrefix + service + "/" }

// HistoryKey returns the store key of the contract that a service had at a revision.
func HistoryKey(service string, revision store.Revision) string {
	return ServiceHistoryPrefix(service) + strconv.FormatUint(uint64(revision), 10)
}

// ZoneKey returns the store key of the operators' state of an availability zone.
func ZoneKey(zone string) string { return ZonesPrefix + zone }

// BackendKey returns the store key of the operators' state of a backend server.
func BackendKey(id string) string { return BackendsPrefix + id }

// RelayKey returns the store key of the relay lease of an availability zone.
func RelayKey(zone string) string { return RelayPrefix + zone }

// Kind is the kind of value that a key holds.
type Kind uint8

// Kinds of values.
const (
	KindContract Kind = iota + 1
	KindZone
	KindBackend
)

// ParseKey returns what a configuration key names, such as KindZone and "zone-a" for config/zones/zone-a.
func ParseKey(key string) (Kind, string, error) {
	prefixes := []struct {
		kind   Kind
		prefix string
	}{{KindContract, ContractsPrefix}, {KindZone, ZonesPrefix}, {KindBackend, BackendsPrefix}}
	for _, p := range prefixes {
		if name, ok := strings.CutPrefix(key, p.prefix); ok && name != "" {
			return p.kind, name, nil
		}
	}
	return 0, "", errors.Annotatef(ErrUnknownKey, "key %q", key)
}

// Revision is one earlier contract of a service.
type Revision struct {
	Revision    store.Revision
	OperationID string
	Author      string
	Time        time.Time
	Contract    contract.Contract
}

// Change names the operation that put a revision in force.
type Change struct {
	Revision    store.Revision
	OperationID string
}

// Contract is the value of a service's contract: the one in force and the changes before it, newest first.
//
// The changes resolve the outcome of a write whose answer was lost. The earlier contracts are values of their own
// under HistoryKey, because in this value they would take twenty times the space of the contract in force.
type Contract struct {
	OperationID string
	Author      string
	Time        time.Time
	Contract    contract.Contract
	Changes     []Change
	// InlineHistory holds the earlier contracts of a value in the first form, which kept them itself.
	InlineHistory []Revision
}

// AsRevision returns the contract in force as the revision that it becomes once it is replaced.
func (c Contract) AsRevision(revision store.Revision) Revision {
	return Revision{Revision: revision, OperationID: c.OperationID, Author: c.Author, Time: c.Time, Contract: c.Contract}
}

// Next returns the value that replaces c, which is in the store at a revision; the oldest change is dropped.
// At revision 0 there is nothing to replace, so there are no changes before it.
func (c Contract) Next(at store.Revision, operationID, author string, now time.Time, next contract.Contract) Contract {
	changes := c.Changes
	if at != 0 {
		changes = slices.Concat([]Change{{Revision: at, OperationID: c.OperationID}}, changes)
	}
	return Contract{
		OperationID: operationID,
		Author:      author,
		Time:        now,
		Contract:    next,
		Changes:     changes[:min(len(changes), MaxHistory)],
	}
}

// State is the value of an availability zone or a backend server.
type State struct {
	OperationID string
	Author      string
	Reason      string
	Out         bool
}

// Availability returns the state as the board holds it.
func (s State) Availability() contract.Availability {
	return contract.NewAvailability(s.Out, s.Author, s.Reason)
}

// contractValue has Changes, or History in the first form.
type contractValue struct {
	OperationID string          `json:"operation_id"`
	Author      string          `json:"author"`
	Time        time.Time       `json:"time"`
	Contract    json.RawMessage `json:"contract"`
	Changes     []changeValue   `json:"changes,omitempty"`
	History     []revisionValue `json:"history,omitempty"`
}

type changeValue struct {
	Revision    uint64 `json:"revision"`
	OperationID string `json:"operation_id"`
}

type revisionValue struct {
	Revision    uint64          `json:"revision"`
	OperationID string          `json:"operation_id"`
	Author      string          `json:"author"`
	Time        time.Time       `json:"time"`
	Contract    json.RawMessage `json:"contract"`
}

type stateValue struct {
	OperationID string `json:"operation_id"`
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	Out         bool   `json:"out"`
}

// EncodeContract returns the store value of a contract, or store.ErrTooLarge; it leaves out Inline.
func EncodeContract(c Contract) ([]byte, error) {
	body, err := c.Contract.Encode()
	if err != nil {
		return nil, errors.Annotate(err, "cannot encode the contract")
	}
	v := contractValue{OperationID: c.OperationID, Author: c.Author, Time: c.Time, Contract: body}
	for _, change := range c.Changes {
		v.Changes = append(v.Changes, changeValue{Revision: uint64(change.Revision), OperationID: change.OperationID})
	}
	return encode(v)
}

// DecodeContract reads the store value of a contract; an invalid contract is an error that holds its findings.
func DecodeContract(data []byte) (Contract, error) {
	var v contractValue
	if err := decode(data, &v); err != nil {
		return Contract{}, err
	}
	if len(v.Changes) > 0 && len(v.History) > 0 {
		return Contract{}, errors.New("cannot decode the value: it has both changes and history")
	}
	c := Contract{OperationID: v.OperationID, Author: v.Author, Time: v.Time}
	var err error
	if c.Contract, err = decodeBody(v.Contract); err != nil {
		return Contract{}, err
	}
	for _, change := range v.Changes {
		c.Changes = append(c.Changes, Change{Revision: store.Revision(change.Revision), OperationID: change.OperationID})
	}
	for _, r := range v.History {
		old, err := r.revision()
		if err != nil {
			return Contract{}, err
		}
		c.InlineHistory = append(c.InlineHistory, old)
		c.Changes = append(c.Changes, Change{Revision: old.Revision, OperationID: old.OperationID})
	}
	return c, nil
}

// EncodeRevision returns the store value of an earlier contract.
func EncodeRevision(r Revision) ([]byte, error) {
	body, err := r.Contract.Encode()
	if err != nil {
		return nil, errors.Annotatef(err, "cannot encode the contract of revision %d", r.Revision)
	}
	return encode(revisionValue{
		Revision: uint64(r.Revision), OperationID: r.OperationID, Author: r.Author, Time: r.Time, Contract: body,
	})
}

// DecodeRevision reads the store value of an earlier contract.
func DecodeRevision(data []byte) (Revision, error) {
	var v revisionValue
	if err := decode(data, &v); err != nil {
		return Revision{}, err
	}
	return v.revision()
}

func (r revisionValue) revision() (Revision, error) {
	c, err := decodeBody(r.Contract)
	if err != nil {
		return Revision{}, errors.Annotatef(err, "revision %d", r.Revision)
	}
	return Revision{
		Revision: store.Revision(r.Revision), OperationID: r.OperationID, Author: r.Author, Time: r.Time, Contract: c,
	}, nil
}

func decodeBody(data []byte) (contract.Contract, error) {
	c, list := contract.Decode("", data)
	return c, list.Err()
}

// EncodeState returns the store value of a zone or a backend server.
func EncodeState(s State) ([]byte, error) {
	return encode(stateValue(s))
}

// DecodeState reads the store value of a zone or a backend server.
func DecodeState(data []byte) (State, error) {
	var v stateValue
	err := decode(data, &v)
	return State(v), err
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Annotate(err, "cannot encode the value")
	}
	if len(b) > store.MaxValueBytes {
		return nil, errors.Annotatef(store.ErrTooLarge, "%d bytes", len(b))
	}
	return b, nil
}

// decode rejects unknown fields, because a value of a later version could state a limit that this one would ignore.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Annotate(err, "cannot decode the value")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("cannot decode the value: there is data after it")
	}
	return nil
}
