package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Format returns the settings as the content of a settings file that Load accepts.
func Format(s Settings) string {
	var b strings.Builder
	section := ""
	for _, k := range keys {
		value := k.get(&s)
		if value == "" {
			continue
		}
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", k.name, value)
	}
	if len(s.Auth.TrainerTokens) == 0 {
		return b.String()
	}
	names := make([]string, 0, len(s.Auth.TrainerTokens))
	for name := range s.Auth.TrainerTokens {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(&b, "\n[%s]\n", trainerTokenSection)
	for _, name := range names {
		fmt.Fprintf(&b, "%s = %s\n", name, s.Auth.TrainerTokens[name])
	}
	return b.String()
}
