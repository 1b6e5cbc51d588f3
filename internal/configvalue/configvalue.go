// Package configvalue encodes and decodes the values of the keys under config/ and history/ in the platform's store.
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

// ErrUnknownKey means that a store key is not a configuration key.
const ErrUnknownKey = errors.ConstError("not a configuration key")

// Prefixes of the store's keys.
const (
	Prefix          = "config/"
	ContractsPrefix = Prefix + "contracts/"
	ZonesPrefix     = Prefix + "zones/"
	BackendsPrefix  = Prefix + "backends/"
	RelayPrefix     = "relay/"
	// HistoryPrefix is outside Prefix, so that listing or watching the configuration does not read earlier contracts.
	HistoryPrefix = "history/contracts/"
)

// MaxHistory is the maximum number of earlier revisions of a contract that are kept.
const MaxHistory = 20

// ContractKey returns the store key of a service's contract.
func ContractKey(service string) string { return ContractsPrefix + service }

// ServiceHistoryPrefix returns the prefix of the store keys of a service's earlier contracts.
func ServiceHistoryPrefix(service string) string { return HistoryPrefix + service + "/" }

// HistoryKey returns the store key of the contract that a service had at a revision.
func HistoryKey(service string, revision store.Revision) string {
	return ServiceHistoryPrefix(service) + strconv.FormatUint(uint64(revision), 10)
}

// ZoneKey returns the store key of the state of an availability zone.
func ZoneKey(zone string) string { return ZonesPrefix + zone }

// BackendKey returns the store key of the state of a backend server.
func BackendKey(id string) string { return BackendsPrefix + id }

// RelayKey returns the store key of the relay lease of an availability zone.
func RelayKey(zone string) string { return RelayPrefix + zone }

// Kind is the kind of a configuration value.
type Kind uint8

// Kinds of values.
const (
	KindContract Kind = iota + 1
	KindZone
	KindBackend
)

// ParseKey returns the kind and the name in a configuration key, such as KindZone and "zone-a" for config/zones/zone-a.
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

// Revision is the contract of a service at a store revision, with the operation that wrote it.
type Revision struct {
	Revision    store.Revision
	OperationID string
	Author      string
	Time        time.Time
	Contract    contract.Contract
}

// Change is a revision and the operation that wrote it.
type Change struct {
	Revision    store.Revision
	OperationID string
}

// Contract is the store value of a service's contract: the contract in force and the earlier changes, newest first.
//
// The changes determine the outcome of a write whose answer was lost. Earlier contracts are separate values under
// HistoryKey, because here they would take up to twenty times the space of the contract in force.
type Contract struct {
	OperationID string
	Author      string
	Time        time.Time
	Contract    contract.Contract
	Changes     []Change
	// InlineHistory holds the earlier contracts of a value in the first format, which included them.
	InlineHistory []Revision
}

// AsRevision returns the contract in force as an entry of the history.
func (c Contract) AsRevision(revision store.Revision) Revision {
	return Revision{Revision: revision, OperationID: c.OperationID, Author: c.Author, Time: c.Time, Contract: c.Contract}
}

// Next returns the value that replaces c, whose revision in the store is at. It drops the oldest change if there are more
// than MaxHistory. At revision 0 there is no value to replace, so c adds no change.
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

// State is the store value of an availability zone or a backend server.
type State struct {
	OperationID string
	Author      string
	Reason      string
	Out         bool
}

// Availability converts the state to the type that the board holds.
func (s State) Availability() contract.Availability {
	return contract.NewAvailability(s.Out, s.Author, s.Reason)
}

// contractValue is the JSON form of Contract. It has Changes, or History in the first format, but not both.
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

// EncodeContract returns the store value of a contract, or store.ErrTooLarge. It omits InlineHistory.
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

// DecodeContract decodes the store value of a contract. The error for an invalid contract holds all findings.
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
		earlier, err := r.revision()
		if err != nil {
			return Contract{}, err
		}
		c.InlineHistory = append(c.InlineHistory, earlier)
		c.Changes = append(c.Changes, Change{Revision: earlier.Revision, OperationID: earlier.OperationID})
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

// DecodeRevision decodes the store value of an earlier contract.
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

// DecodeState decodes the store value of a zone or a backend server.
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

// decode rejects unknown fields, because a value written by a later version may hold a limit that this one would ignore.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Annotate(err, "cannot decode the value")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("cannot decode the value: it has trailing data")
	}
	return nil
}
