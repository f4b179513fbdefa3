package handlers

import (
	"crypto/rand"
	"encoding/hex"

	"sequoiasill.dev/sequoiasill"
)

// idSource generates request IDs, which contain the entry's name and a random part
// that can't be guessed.
type idSource struct {
	entry string
}

func newIDSource(entry string) idSource { return idSource{entry: entry} }

// idBytes is the length of an ID's random part.
const idBytes = 12

func (s idSource) next() sequoiasill.RequestID {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return sequoiasill.RequestID(s.entry + "." + hex.EncodeToString(b[:]))
}
