// Package intent runs each non-idempotent call at most once. Before an attempt
// dispatches a call, it appends an intent to the platform's log; once the
// service has answered, it appends the outcome. An attempt that is cancelled
// before the call has run appends an abandonment instead. Of several attempts
// with the same idempotency key, only the one whose intent is the first in the
// log that has not been abandoned may dispatch.
package intent

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"flamingodoor.example/flamingodoor"
)

// Shards is the number of intent streams, over which the keys are spread by hash.
const Shards = 16

const (
	// MaxKeyAge is how far the time in an idempotency key may lie in the past.
	MaxKeyAge = 24 * time.Hour
	// MaxKeySkew is how far the time in an idempotency key may lie in the future.
	MaxKeySkew = 5 * time.Minute
	// MinRetention is the shortest retention of the log with which calls are
	// run. The log must keep the records of a key until the key has expired.
	MinRetention = MaxKeyAge + time.Hour
)

// Hash is a SHA-256 hash: of a key with its club and service, or of a request.
type Hash [sha256.Size]byte

// Stream returns the name of the intent stream of the key, intent-00 to
// intent-15.
func (h Hash) Stream() string {
	return fmt.Sprintf("intent-%02d", h[0]%Shards)
}

// key is a valid idempotency key with the fingerprint of its call.
type key struct {
	hash        Hash // of club, service and idempotency key
	fingerprint Hash // of method, path and body
}

// parseKey validates the idempotency key of a call. The error for an expired key
// has RunStateMayHaveRun, because its records may no longer be in the log.
func parseKey(call flamingodoor.ServiceCall, now time.Time) (key, error) {
	if call.IdempotencyKey == "" {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyRequired, "the call needs an idempotency key")
	}
	id, err := uuid.Parse(call.IdempotencyKey)
	if err != nil {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyInvalid, "the idempotency key is not a UUID: %w", err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyInvalid, "the idempotency key is not a UUID of version 7")
	}
	created := time.Unix(id.Time().UnixTime())
	if created.After(now.Add(MaxKeySkew)) {
		return key{}, flamingodoor.Errorf(flamingodoor.CodeKeyInvalid, "the time in the idempotency key is more than %s in the future", MaxKeySkew)
	}
	if created.Before(now.Add(-MaxKeyAge)) {
		return key{}, flamingodoor.NewError(flamingodoor.CodeKeyExpired, flamingodoor.RunStateMayHaveRun,
			flamingodoor.Errorf(flamingodoor.CodeKeyExpired, "the idempotency key is older than %s", MaxKeyAge))
	}
	return key{
		hash:        hashOf([]byte(call.ClubID), []byte(call.Service), id[:]),
		fingerprint: hashOf([]byte(call.Method), []byte(call.Path), call.Body),
	}, nil
}

// hashOf hashes the parts, each preceded by its length, so that different parts
// with the same concatenation have different hashes.
func hashOf(parts ...[]byte) Hash {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return Hash(h.Sum(nil))
}
