//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"github.com/sesamestand/sesamestand/internal/settings"
)

// New wires an entry host from its settings.
func New(s settings.Settings) (*Host, error) {
	wire.Build(roles)
	return nil, nil
}
