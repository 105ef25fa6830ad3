package testbed

import "github.com/sesamestand/sesamestand/internal/load"

// Mix derives a load from the declarations. Each trainer uses the entry hosts of
// one data centre, because each data centre has its own coordinator for it.
func (t *Testbed) Mix(o load.MixOptions) load.Config {
	o.TrainerToken = TrainerToken
	config := load.Mix(t.Set, o)
	config.Entries, config.CallerToken = t.EntryAddrs(), CallerToken
	config.WeightsAddr, config.Seed = t.WeightsAddr, t.Options.Seed
	for i := range config.Trainers {
		config.Trainers[i].Entries = t.entryAddrsIn(t.DataCentres[i%len(t.DataCentres)])
	}
	return config
}

func (t *Testbed) entryAddrsIn(dc string) []string {
	var addrs []string
	for _, e := range t.Entries {
		if e.Settings.Host.DataCentre == dc {
			addrs = append(addrs, e.Settings.Host.HTTPAddr)
		}
	}
	return addrs
}
