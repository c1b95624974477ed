package configcheck

import (
	"fmt"

	"github.com/bramleypick/bramleypick/routing"
)

// CheckVersion returns warnings about version numbers with which the configuration after would be refused while before is in force.
// They are not errors, because a file need not hold the version that is in force when the configuration is sent.
func CheckVersion(before, after *routing.Config) []Finding {
	var findings []Finding
	if after.BaseVersion != before.Version {
		findings = append(findings, Finding{
			Severity: Warning, Message: fmt.Sprintf("the base version is %d, but %d is in force", after.BaseVersion, before.Version),
		})
	}
	if after.Version <= before.Version {
		findings = append(findings, Finding{
			Severity: Warning, Message: fmt.Sprintf("the version %d is not above %d, which is in force", after.Version, before.Version),
		})
	}
	return findings
}
