// Package encoder encodes the configuration as objects of the platform's store
// and decodes it. The objects are JSON with camel case keys. Parts are named by
// the hash of their content and are immutable; the head object lists the parts
// of a generation.
package encoder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

// HeadName is the name of the head object. A configuration is accepted by a
// conditional write of this object.
const HeadName = "config/head"

const partPrefix = "config/parts/"

// Part is a stored organisation, pool, service or move.
type Part struct {
	Name  string // of the object
	Value []byte
}

// Head lists the parts of one generation.
type Head struct {
	Generation uint64
	Parts      []string // names of objects
}

type wireHead struct {
	Generation uint64   `json:"generation"`
	Parts      []string `json:"parts"`
}

// EncodeHead encodes h for the store.
func EncodeHead(h Head) ([]byte, error) {
	b, err := json.Marshal(wireHead(h))
	return b, errors.Annotate(err, "encode head")
}

// DecodeHead decodes the output of EncodeHead.
func DecodeHead(b []byte) (Head, error) {
	var w wireHead
	err := json.Unmarshal(b, &w)
	return Head(w), errors.Annotate(err, "decode head")
}

// wirePart is a stored part. Exactly one of its fields is set.
type wirePart struct {
	Organisation *wireOrganisation `json:"organisation,omitempty"`
	Service      *wireService      `json:"service,omitempty"`
	Pool         *wirePool         `json:"pool,omitempty"`
	Move         *wireMove         `json:"move,omitempty"`
}

type wireOrganisation struct {
	Name      string   `json:"name"`
	Weight    int      `json:"weight"`
	KeyHashes []string `json:"keyHashes"`
	Services  []string `json:"services"`
}

type wireService struct {
	Name    string      `json:"name"`
	Kind    string      `json:"kind"`
	Pool    string      `json:"pool"`
	Version string      `json:"version"`
	Routes  []wireRoute `json:"routes"`
}

type wireRoute struct {
	Path               string `json:"path"`
	Idempotent         bool   `json:"idempotent"`
	CallerNeverRepeats bool   `json:"callerNeverRepeats"`
	TimeoutMillis      int64  `json:"timeoutMillis"`
}

type wirePool struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Fencing bool   `json:"fencing"`
	Slots   int    `json:"slots"`
}

type wireMove struct {
	Name           string `json:"name"`
	Service        string `json:"service"`
	From           string `json:"from"`
	To             string `json:"to"`
	StartMillis    int64  `json:"startMillis"`
	DeadlineMillis int64  `json:"deadlineMillis"`
}

// Encode returns the parts of the configuration in a deterministic order.
func Encode(cfg sequoiasill.Config) ([]Part, error) {
	var wireParts []wirePart
	for _, o := range cfg.Organisations {
		w := wireOrganisation(o)
		wireParts = append(wireParts, wirePart{Organisation: &w})
	}
	for _, p := range cfg.Pools {
		wireParts = append(wireParts, wirePart{Pool: &wirePool{Name: p.Name, Kind: string(p.Kind), Fencing: p.Fencing, Slots: p.Slots}})
	}
	for _, s := range cfg.Services {
		wireParts = append(wireParts, wirePart{Service: encodeService(s)})
	}
	for _, m := range cfg.Moves {
		wireParts = append(wireParts, wirePart{Move: &wireMove{
			Name: m.Name, Service: m.Service, From: m.From, To: m.To,
			StartMillis: int64(m.Start), DeadlineMillis: int64(m.Deadline),
		}})
	}
	parts := make([]Part, 0, len(wireParts))
	for _, w := range wireParts {
		b, err := json.Marshal(w)
		if err != nil {
			return nil, errors.Annotate(err, "encode part")
		}
		sum := sha256.Sum256(b)
		parts = append(parts, Part{Name: partPrefix + hex.EncodeToString(sum[:16]), Value: b})
	}
	return parts, nil
}

func encodeService(s sequoiasill.Service) *wireService {
	w := &wireService{Name: s.Name, Kind: string(s.Kind), Pool: s.Pool, Version: s.Version, Routes: []wireRoute{}}
	for _, r := range s.Routes {
		w.Routes = append(w.Routes, wireRoute{
			Path: r.Path, Idempotent: r.Idempotent,
			CallerNeverRepeats: r.CallerNeverRepeats, TimeoutMillis: int64(r.Timeout),
		})
	}
	return w
}

// Decode assembles the configuration of a generation from its parts.
func Decode(generation uint64, parts []Part) (sequoiasill.Config, error) {
	cfg := sequoiasill.Config{Generation: generation}
	for _, p := range parts {
		var w wirePart
		if err := json.Unmarshal(p.Value, &w); err != nil {
			return sequoiasill.Config{}, errors.Annotatef(err, "decode %s", p.Name)
		}
		switch {
		case w.Organisation != nil:
			cfg.Organisations = append(cfg.Organisations, sequoiasill.Organisation(*w.Organisation))
		case w.Pool != nil:
			cfg.Pools = append(cfg.Pools, sequoiasill.Pool{
				Name: w.Pool.Name, Kind: sequoiasill.Kind(w.Pool.Kind), Fencing: w.Pool.Fencing, Slots: w.Pool.Slots,
			})
		case w.Service != nil:
			cfg.Services = append(cfg.Services, decodeService(*w.Service))
		case w.Move != nil:
			cfg.Moves = append(cfg.Moves, sequoiasill.Move{
				Name: w.Move.Name, Service: w.Move.Service, From: w.Move.From, To: w.Move.To,
				Start: sequoiasill.Millis(w.Move.StartMillis), Deadline: sequoiasill.Millis(w.Move.DeadlineMillis),
			})
		default:
			return sequoiasill.Config{}, errors.Errorf("decode %s: unknown kind of part", p.Name)
		}
	}
	return cfg, nil
}

func decodeService(w wireService) sequoiasill.Service {
	s := sequoiasill.Service{Name: w.Name, Kind: sequoiasill.Kind(w.Kind), Pool: w.Pool, Version: w.Version}
	for _, r := range w.Routes {
		s.Routes = append(s.Routes, sequoiasill.Route{
			Path: r.Path, Idempotent: r.Idempotent,
			CallerNeverRepeats: r.CallerNeverRepeats, Timeout: sequoiasill.Millis(r.TimeoutMillis),
		})
	}
	return s
}
