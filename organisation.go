package sequoiasill

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// Organisation is a tenant that shares the upstreams with others.
type Organisation struct {
	Name      string
	Weight    int
	KeyHashes []string // hexadecimal SHA-256 of each bearer key
	Services  []string // names of the services that it is authorised to call
}

// MayCall reports whether o is authorised to call the service.
func (o Organisation) MayCall(service string) bool { return slices.Contains(o.Services, service) }

// HashKey returns the hash under which a bearer key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HasKeyHash reports whether o has a key with this hash. It compares in constant
// time.
func (o Organisation) HasKeyHash(hash string) bool {
	found := 0
	for _, h := range o.KeyHashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}
