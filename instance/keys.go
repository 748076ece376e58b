package instance

import (
	"dogwooddyke/transport/certificate"
)

// keeperOf returns the keeper of the certificate files, nil when the settings name none.
func keeperOf(files Files) (*certificate.Keeper, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	return certificate.NewKeeper(files.Certificate, files.PrivateKey, files.Authority)
}

// Reload takes the keys of the settings and reads the certificates again, for connections and resume tokens made from now
// on; all else in the settings needs a new instance. A key or file that is not valid leaves the former one.
func (i *Instance) Reload(settings *Settings) {
	i.node.SetKeys(settings.PeerKeys)
	i.table.SetSnapshotKeys(settings.PeerKeys)
	if err := i.signer.Rotate(currentAndPrevious(settings.TokenKeys)); err != nil {
		i.logger.Error("keys of resume tokens not reloaded", "error", err)
	}
	for _, k := range i.keepers {
		if err := k.Reload(); err != nil {
			i.logger.Error("certificate not reloaded", "error", err)
		}
	}
}

// currentAndPrevious returns the first two keys; the second may be nil.
func currentAndPrevious(keys [][]byte) (current, previous []byte) {
	if len(keys) > 1 {
		previous = keys[1]
	}
	if len(keys) > 0 {
		current = keys[0]
	}
	return current, previous
}
