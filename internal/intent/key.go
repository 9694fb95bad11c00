// Package intent runs non-idempotent calls at most once. Intents and outcomes
// are records of the log, and the order of the log decides which attempt may
// dispatch.
package intent

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"flamingodoor.example/flamingodoor"
)

// Shards is the number of intent streams.
const Shards = 16

const (
	// MaxKeyAge is how far back the time of a key may lie.
	MaxKeyAge = 24 * time.Hour
	// MaxKeySkew is how far ahead the time of a key may lie.
	MaxKeySkew = 5 * time.Minute
	// MinRetention is the shortest retention of the log under which calls run.
	MinRetention = MaxKeyAge + time.Hour
)

// Hash identifies a key of a club for a service.
type Hash [sha256.Size]byte

// Stream returns the name of the intent stream of the key, intent-00 to
// intent-15.
func (h Hash) Stream() string {
	return fmt.Sprintf("intent-%02d", h[0]%Shards)
}

// key is a checked idempotency key with the fingerprint of its call.
type key struct {
	hash        Hash
	fingerprint Hash
}

// keyOf checks the key of a call. A key that is too old may have run.
func keyOf(call flamingodoor.ServiceCall, now time.Time) (key, error) {
	if call.IdempotencyKey == "" {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyRequired, "the call needs an idempotency key")
	}
	id, err := uuid.Parse(call.IdempotencyKey)
	if err != nil {
		return key{}, flamingodoor.NewError(flamingodoor.CodeKeyInvalid, flamingodoor.RunStateNotRun, err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyInvalid, "the idempotency key is not a UUID of version 7")
	}
	at := time.Unix(id.Time().UnixTime())
	if at.After(now.Add(MaxKeySkew)) {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyInvalid, "the time of the idempotency key is more than %s ahead", MaxKeySkew)
	}
	if at.Before(now.Add(-MaxKeyAge)) {
		return key{}, flamingodoor.NewError(flamingodoor.CodeKeyExpired, flamingodoor.RunStateMayHaveRun,
			flamingodoor.Errorf(flamingodoor.CodeKeyExpired, "the idempotency key is older than %s", MaxKeyAge))
	}
	return key{
		hash:        hashOf([]byte(call.ClubID), []byte(call.Service), id[:]),
		fingerprint: hashOf([]byte(call.Method), []byte(call.Path), call.Body),
	}, nil
}

// hashOf hashes the parts with their lengths, so that bytes cannot move from
// one part to the next.
func hashOf(parts ...[]byte) Hash {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return Hash(h.Sum(nil))
}
