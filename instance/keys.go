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
