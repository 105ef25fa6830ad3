//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/callers"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/inventory"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/members"
	"github.com/sesamestand/sesamestand/internal/orders"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/services"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/trainers"
	"github.com/sesamestand/sesamestand/internal/versions"
)

// providerSet lists the constructors of an entry host and its roles.
var providerSet = wire.NewSet(
	newAccount, newRecorder, newTLS, newPool,
	newLog, newHostList, newWeightStore,
	newMembers, newEngineClient, versions.NewWatcher,
	inventory.New, limits.NewForMembers,
	newConfigsConfig, configs.New,
	newTerms, access.New,
	newOrdersConfig, orders.New,
	newOwnerConfig, owner.New,
	newCallersConfig, callers.New,
	newServicesConfig, services.New,
	newTrainersConfig, trainers.New,
	newHost,
	wire.Bind(new(cluster.Members), new(*members.Controller)),
	wire.Bind(new(cluster.Versions), new(*members.Controller)),
	wire.Bind(new(cluster.Inventory), new(*inventory.Controller)),
	wire.Bind(new(cluster.Configs), new(*configs.Controller)),
	wire.Bind(new(access.Source), new(*configs.Controller)),
	wire.Bind(new(cluster.Ownership), new(*orders.Controller)),
	wire.Bind(new(cluster.ReplicaStates), new(*orders.Controller)),
	wire.Bind(new(cluster.Generator), new(*callers.Controller)),
	wire.Bind(new(peer.Clients), new(*peer.Pool)),
	wire.Bind(new(limits.Peers), new(*peer.Pool)),
)

// New returns an entry host with the given settings.
func New(s settings.Settings) (*Host, error) {
	wire.Build(providerSet)
	return nil, nil
}
