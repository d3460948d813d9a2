package mangopaddle

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Tier is a service level. Tier 0 is the most urgent.
type Tier int

// MaxTier is the least urgent tier.
const MaxTier Tier = 4

// TierCount is the number of tiers.
const TierCount = int(MaxTier) + 1

// Tokens is a number of tokens in a prompt or an answer.
type Tokens int64

// TokensPerSecond is a token rate.
type TokensPerSecond float64

// Bytes is a size in bytes.
type Bytes int64

// Binary multiples of a byte.
const (
	Kibibyte Bytes = 1 << 10
	Mebibyte Bytes = 1 << 20
)

// Duration is a time.Duration that is encoded in JSON as a string such as "900ms".
type Duration time.Duration

// Std converts the duration to a time.Duration.
func (du Duration) Std() time.Duration {
	return time.Duration(du)
}

// String formats the duration like time.Duration.
func (du Duration) String() string {
	return time.Duration(du).String()
}

// MarshalJSON encodes the duration as a string.
func (du Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(du.String())
}

// UnmarshalJSON decodes a string such as "900ms". It rejects bare numbers, because
// they have no unit.
func (du *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.NotValidf("duration %s (want a string with a unit, such as \"900ms\")", data)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return errors.NotValidf("duration %q (want a number with a unit, such as \"900ms\")", text)
	}
	*du = Duration(duration)
	return nil
}
