package mangopaddle

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Tier is a service level. Tier 0 is served first.
type Tier int

// MaxTier is the lowest service level.
const MaxTier Tier = 4

// TierCount is the number of service levels.
const TierCount = int(MaxTier) + 1

// Tokens counts tokens of a prompt or of an answer.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64

// Bytes counts bytes.
type Bytes int64

// Kibibyte and Mebibyte are sizes in bytes.
const (
	Kibibyte Bytes = 1 << 10
	Mebibyte Bytes = 1 << 20
)

// Duration is a time span that JSON writes in Go's notation, such as "900ms".
type Duration time.Duration

// Std returns the span as a time.Duration.
func (du Duration) Std() time.Duration {
	return time.Duration(du)
}

// String returns the span in Go's notation.
func (du Duration) String() string {
	return time.Duration(du).String()
}

// MarshalJSON writes the span as a string.
func (du Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(du.String())
}

// UnmarshalJSON reads a span such as "900ms". It refuses bare numbers, which
// carry no unit.
func (du *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.NotValidf("duration %s (want a string with a unit, such as \"900ms\")", data)
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return errors.NotValidf("duration %q (want a number with a unit, such as \"900ms\")", text)
	}
	*du = Duration(span)
	return nil
}
