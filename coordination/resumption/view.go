package resumption

import (
	"slices"
	"time"
)

// View is what one instance knows of the versions of a service.
type View struct {
	Versions []string      // that serve, or served lately
	Fresh    bool          // whether the instance's list of endpoints is up to date
	Span     time.Duration // for which the instance has followed that list
}

// onlyVersion returns the version at which each stream of a service must have begun that a caller may take up now, and whether there is one: no other has
// served lately, by the instance's own view and those of the others that have answered. An instance that is up to date must be among them. One that gets
// no answer though there are others has to have followed the list itself for the span, since versions may have left it before.
func onlyVersion(own View, answers []View, hasOthers bool, span time.Duration) (string, bool) {
	if len(answers) == 0 && hasOthers && own.Span < span {
		return "", false
	}
	views := append([]View{own}, answers...)
	if !slices.ContainsFunc(views, func(v View) bool { return v.Fresh }) {
		return "", false
	}
	var versions []string
	for _, v := range views {
		versions = append(versions, v.Versions...)
	}
	slices.Sort(versions)
	if versions = slices.Compact(versions); len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}
