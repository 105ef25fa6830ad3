package settings

//go:generate sh -c "go run ../../cmd/sesamestand settings > ../../docs/settings.md"
