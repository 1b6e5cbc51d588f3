package membership

import (
	"bytes"
	"encoding/json"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// ErrMalformed is returned for a control message or record that cannot be decoded.
const ErrMalformed = errors.ConstError("malformed control message")

// Message types on the wire: the first byte of the payload.
const (
	typeHeartbeat byte = iota + 1
	typeAck
	typePush
	typeNotice
	typeDigest
	typeVersions
	typeWant
	typeLivenessQuery
	typeLivenessReply
	typeLoad
	// typeAckInSync has no body, because most datagrams are heartbeats and their acks.
	typeAckInSync
)

type wireRecord struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Key      string
	Epoch    uint64
	Seq      uint64
	Liveness uint8
	Value    cbor.RawMessage
}

type wireItem struct {
	_        struct{} `cbor:",toarray"`
	Hash     uint64
	Epoch    uint64
	Seq      uint64
	Liveness uint8
}

type wireHeartbeat struct {
	_                    struct{} `cbor:",toarray"`
	Kind                 uint8
	Key                  string
	Epoch, Seq, Contract uint64
	Config, Members      uint64
}

type wireAck struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq      uint64
	Liveness        uint8
	Config, Members uint64
}

type wirePush struct {
	_       struct{} `cbor:",toarray"`
	Relayed bool
	Records []wireRecord
}

type wireDigest struct {
	_       struct{} `cbor:",toarray"`
	Level   uint8
	Bucket  uint8
	Buckets []byte
}

type wireVersions struct {
	_      struct{} `cbor:",toarray"`
	Bucket uint8
	Mask   uint64
	Items  []wireItem
}

type wireMember struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Key   string
	AgeMS uint32
}

type wireLoad struct {
	_                        struct{} `cbor:",toarray"`
	Agent                    string
	InProgress, Flows, Slots uint32
}

type wireAgent struct {
	_             struct{} `cbor:",toarray"`
	Service, Zone string
	Phase         uint8
	Data, Control []byte
}

type wireBalancer struct {
	_             struct{} `cbor:",toarray"`
	Zone          string
	Leaving       bool
	Data, Control []byte
}

type wireAvailability struct {
	_              struct{} `cbor:",toarray"`
	Out            bool
	Author, Reason string
}

type wireRelay struct {
	_        struct{} `cbor:",toarray"`
	Balancer string
	Applied  uint64
}

// Encode returns the payload of a control datagram that carries m.
func Encode(m Message) ([]byte, error) {
	if a, ok := m.(Ack); ok && a.InSync {
		return []byte{typeAckInSync}, nil
	}
	t, v, err := toWire(m)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.WriteByte(t)
	if err := cbor.NewEncoder(&b).Encode(v); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

func toWire(m Message) (byte, any, error) {
	switch m := m.(type) {
	case Heartbeat:
		return typeHeartbeat, wireHeartbeat{
			Kind: uint8(m.Member.Kind), Key: m.Member.Key, Epoch: m.Version.Epoch, Seq: m.Version.Seq, Contract: m.Contract,
			Config: m.Scope.Config, Members: m.Scope.Members,
		}, nil
	case Ack:
		return typeAck, wireAck{
			Epoch: m.Known.Epoch, Seq: m.Known.Seq, Liveness: uint8(m.Known.Liveness),
			Config: m.Scope.Config, Members: m.Scope.Members,
		}, nil
	case Push:
		rs, err := wireRecords(m.Records)
		return typePush, wirePush{Relayed: m.Relayed, Records: rs}, err
	case Notice:
		return typeNotice, wireItems(m.Items), nil
	case Digest:
		return typeDigest, wireDigest{Level: m.Level, Bucket: m.Bucket, Buckets: m.Buckets.bytes()}, nil
	case Versions:
		return typeVersions, wireVersions{Bucket: m.Bucket, Mask: m.Mask, Items: wireItems(m.Items)}, nil
	case Want:
		return typeWant, m.Hashes, nil
	case LivenessQuery:
		return typeLivenessQuery, wireMember{Kind: uint8(m.Member.Kind), Key: m.Member.Key}, nil
	case LivenessReply:
		return typeLivenessReply, wireMember{Kind: uint8(m.Member.Kind), Key: m.Member.Key, AgeMS: m.AgeMS}, nil
	case LoadReport:
		return typeLoad, wireLoad{Agent: m.Agent, InProgress: m.Load.InProgress, Flows: m.Load.Flows, Slots: m.Load.Slots}, nil
	}
	return 0, nil, errors.Errorf("no encoding for %T", m)
}

// Decode decodes the payload of a control datagram; every error is ErrMalformed.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, ErrMalformed
	}
	if len(b) == 1 && b[0] == typeAckInSync {
		return Ack{InSync: true}, nil
	}
	m, err := fromWire(b[0], b[1:])
	if err != nil {
		return nil, errors.Annotatef(ErrMalformed, "type %d: %v", b[0], err)
	}
	return m, nil
}

func fromWire(t byte, b []byte) (Message, error) {
	switch t {
	case typeHeartbeat:
		w, err := parse[wireHeartbeat](b)
		return Heartbeat{
			Member: board.ID{Kind: board.Kind(w.Kind), Key: w.Key}, Version: board.Version{Epoch: w.Epoch, Seq: w.Seq},
			Contract: w.Contract, Scope: ScopeDigest{Config: w.Config, Members: w.Members},
		}, err
	case typeAck:
		w, err := parse[wireAck](b)
		return Ack{
			Known: board.Version{Epoch: w.Epoch, Seq: w.Seq, Liveness: board.Liveness(w.Liveness)},
			Scope: ScopeDigest{Config: w.Config, Members: w.Members},
		}, err
	case typePush:
		w, err := parse[wirePush](b)
		if err != nil {
			return nil, err
		}
		rs, err := parseRecords(w.Records)
		return Push{Records: rs, Relayed: w.Relayed}, err
	case typeNotice:
		w, err := parse[[]wireItem](b)
		return Notice{Items: parseItems(w)}, err
	case typeDigest:
		w, err := parse[wireDigest](b)
		if err != nil || w.Level > 1 || w.Bucket >= bucketCount || len(w.Buckets) != 8*bucketCount {
			return nil, ErrMalformed
		}
		return Digest{Level: w.Level, Bucket: w.Bucket, Buckets: parseBucketDigests(w.Buckets)}, nil
	case typeVersions:
		w, err := parse[wireVersions](b)
		if err != nil || w.Bucket >= bucketCount {
			return nil, ErrMalformed
		}
		return Versions{Bucket: w.Bucket, Mask: w.Mask, Items: parseItems(w.Items)}, nil
	case typeWant:
		w, err := parse[[]uint64](b)
		return Want{Hashes: w}, err
	}
	return memberMessage(t, b)
}

func memberMessage(t byte, b []byte) (Message, error) {
	switch t {
	case typeLivenessQuery, typeLivenessReply:
		w, err := parse[wireMember](b)
		id := board.ID{Kind: board.Kind(w.Kind), Key: w.Key}
		if t == typeLivenessQuery {
			return LivenessQuery{Member: id}, err
		}
		return LivenessReply{Member: id, AgeMS: w.AgeMS}, err
	case typeLoad:
		w, err := parse[wireLoad](b)
		return LoadReport{Agent: w.Agent, Load: Load{InProgress: w.InProgress, Flows: w.Flows, Slots: w.Slots}}, err
	}
	return nil, errors.New("unknown message type")
}

func parse[T any](b []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(b, &v)
	return v, err
}

func wireItems(items []Item) []wireItem {
	ws := make([]wireItem, 0, len(items))
	for _, i := range items {
		ws = append(ws, wireItem{Hash: i.Hash, Epoch: i.Version.Epoch, Seq: i.Version.Seq, Liveness: uint8(i.Version.Liveness)})
	}
	return ws
}

func parseItems(ws []wireItem) []Item {
	items := make([]Item, 0, len(ws))
	for _, w := range ws {
		items = append(items, Item{Hash: w.Hash, Version: board.Version{Epoch: w.Epoch, Seq: w.Seq, Liveness: board.Liveness(w.Liveness)}})
	}
	return items
}

// EncodeRecord returns the wire encoding of one record.
func EncodeRecord(r board.Record) ([]byte, error) {
	w, err := toWireRecord(r)
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(w)
	return b, errors.Trace(err)
}

// DecodeRecord decodes one record; every error is ErrMalformed.
func DecodeRecord(b []byte) (board.Record, error) {
	w, err := parse[wireRecord](b)
	if err != nil {
		return board.Record{}, errors.Annotatef(ErrMalformed, "%v", err)
	}
	r, err := fromWireRecord(w)
	if err != nil {
		return board.Record{}, errors.Annotatef(ErrMalformed, "%v", err)
	}
	return r, nil
}

func wireRecords(rs []board.Record) ([]wireRecord, error) {
	ws := make([]wireRecord, 0, len(rs))
	for _, r := range rs {
		w, err := toWireRecord(r)
		if err != nil {
			return nil, err
		}
		ws = append(ws, w)
	}
	return ws, nil
}

func parseRecords(ws []wireRecord) ([]board.Record, error) {
	rs := make([]board.Record, 0, len(ws))
	for _, w := range ws {
		r, err := fromWireRecord(w)
		if err != nil {
			return nil, err
		}
		rs = append(rs, r)
	}
	return rs, nil
}

func toWireRecord(r board.Record) (wireRecord, error) {
	value, err := encodeValue(r.Value)
	if err != nil {
		return wireRecord{}, errors.Annotatef(err, "record %s %q", r.ID.Kind, r.ID.Key)
	}
	return wireRecord{
		Kind: uint8(r.ID.Kind), Key: r.ID.Key, Epoch: r.Version.Epoch, Seq: r.Version.Seq,
		Liveness: uint8(r.Version.Liveness), Value: value,
	}, nil
}

func encodeValue(v board.Value) ([]byte, error) {
	switch v := v.(type) {
	case board.Contract:
		return encodeContract(v.Contract)
	case board.Zone:
		return cbor.Marshal(wireAvailability{Out: v.Out(), Author: v.Author(), Reason: v.Reason()})
	case board.Backend:
		return cbor.Marshal(wireAvailability{Out: v.Out(), Author: v.Author(), Reason: v.Reason()})
	case board.Agent:
		return cbor.Marshal(wireAgent{
			Service: v.Service, Zone: v.Zone, Phase: uint8(v.Phase), Data: addrBytes(v.DataAddress), Control: addrBytes(v.ControlAddress),
		})
	case board.Balancer:
		return cbor.Marshal(wireBalancer{Zone: v.Zone, Leaving: v.Leaving, Data: addrBytes(v.DataAddress), Control: addrBytes(v.ControlAddress)})
	case board.ZoneReachability:
		return cbor.Marshal(v.Unreachable)
	case board.Relay:
		return cbor.Marshal(wireRelay{Balancer: v.Balancer, Applied: uint64(v.Applied)})
	}
	return nil, errors.Errorf("no encoding for %T", v)
}

func encodeContract(c contract.Contract) ([]byte, error) {
	text, err := c.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return nil, errors.Trace(err)
	}
	return cbor.Marshal(b.Bytes())
}

func addrBytes(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func parseAddr(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if len(b) == 0 {
		return a, nil
	}
	err := a.UnmarshalBinary(b)
	return a, err
}

func fromWireRecord(w wireRecord) (board.Record, error) {
	r := board.Record{
		ID:      board.ID{Kind: board.Kind(w.Kind), Key: w.Key},
		Version: board.Version{Epoch: w.Epoch, Seq: w.Seq, Liveness: board.Liveness(w.Liveness)},
	}
	if w.Key == "" || r.Version.Liveness > board.Dead {
		return board.Record{}, errors.Errorf("record %s %q: empty key or unknown liveness %d", r.ID.Kind, w.Key, w.Liveness)
	}
	var err error
	r.Value, err = decodeValue(r.ID, w.Value)
	if s, ok := r.Value.(board.ZoneReachability); ok && r != board.NewZoneReachability(w.Key, w.Seq) {
		return board.Record{}, errors.Errorf("zone %q: unreachable %t contradicts sequence %d", w.Key, s.Unreachable, w.Seq)
	}
	return r, err
}

func decodeValue(id board.ID, b []byte) (board.Value, error) {
	switch id.Kind {
	case board.KindContract:
		text, err := parse[[]byte](b)
		if err != nil {
			return nil, err
		}
		c, list := contract.Decode("", text)
		if c.Service() != id.Key && list.Len() == 0 {
			return nil, errors.Errorf("record of service %q holds the contract of service %q", id.Key, c.Service())
		}
		return board.Contract{Contract: c}, list.Err()
	case board.KindZone:
		w, err := parse[wireAvailability](b)
		return board.Zone{Availability: contract.NewAvailability(w.Out, w.Author, w.Reason)}, err
	case board.KindBackend:
		w, err := parse[wireAvailability](b)
		return board.Backend{Availability: contract.NewAvailability(w.Out, w.Author, w.Reason)}, err
	case board.KindZoneReachability:
		unreachable, err := parse[bool](b)
		return board.ZoneReachability{Unreachable: unreachable}, err
	case board.KindRelay:
		w, err := parse[wireRelay](b)
		return board.Relay{Balancer: w.Balancer, Applied: store.Revision(w.Applied)}, err
	case board.KindAgent, board.KindBalancer:
		return decodeMember(id.Kind, b)
	}
	return nil, errors.Errorf("unknown kind %d", id.Kind)
}

func decodeMember(k board.Kind, b []byte) (board.Value, error) {
	if k == board.KindBalancer {
		w, err := parse[wireBalancer](b)
		if err != nil {
			return nil, err
		}
		data, errData := parseAddr(w.Data)
		control, errControl := parseAddr(w.Control)
		if errData != nil || errControl != nil {
			return nil, errors.New("invalid address")
		}
		return board.Balancer{Zone: w.Zone, Leaving: w.Leaving, DataAddress: data, ControlAddress: control}, nil
	}
	w, err := parse[wireAgent](b)
	if err != nil {
		return nil, err
	}
	data, errData := parseAddr(w.Data)
	control, errControl := parseAddr(w.Control)
	if errData != nil || errControl != nil || w.Phase < uint8(board.PhaseCold) || w.Phase > uint8(board.PhaseLeft) {
		return nil, errors.Errorf("invalid address or phase %d", w.Phase)
	}
	return board.Agent{Service: w.Service, Zone: w.Zone, Phase: board.Phase(w.Phase), DataAddress: data, ControlAddress: control}, nil
}
