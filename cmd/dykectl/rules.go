package main

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"strings"

	"dogwooddyke/coordination/publication"
	"dogwooddyke/state/catalogue"
)

// catalogueOptions is what commands that read the log's catalogue share.
type catalogueOptions struct {
	fleetOptions
	OperatorKeys string `long:"operatorKeys" value-name:"NAME:KEY,..." env:"DOGWOODDYKE_OPERATOR_KEYS" description:"the instances' operatorKeys setting, so that changes are judged as they judge them"`
}

// open returns a publisher over the log.
func (o *catalogueOptions) open() (*publication.Publisher, error) {
	if err := o.resolve(); err != nil {
		return nil, err
	}
	log, err := o.log()
	if err != nil {
		return nil, err
	}
	keys, err := parseOperatorKeys(o.OperatorKeys)
	if err != nil {
		return nil, &exitError{exitBadInput, err}
	}
	return publication.New(log, catalogue.Rules{Operators: keys}), nil
}

// read returns the catalogue at the log's head.
func (o *catalogueOptions) read() (*catalogue.View, error) {
	p, err := o.open()
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.context()
	defer cancel()
	if err := p.CatchUp(ctx); err != nil {
		return nil, err
	}
	return p.Table().View(), nil
}

// parseOperatorKeys reads NAME:KEY pairs with base64 Ed25519 public keys.
func parseOperatorKeys(text string) (map[string]ed25519.PublicKey, error) {
	keys := map[string]ed25519.PublicKey{}
	for _, pair := range strings.Split(text, ",") {
		if pair = strings.TrimSpace(pair); pair == "" {
			continue
		}
		name, encoded, _ := strings.Cut(pair, ":")
		raw, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("--operatorKeys: %s: not a base64 Ed25519 public key", name)
		}
		keys[name] = raw
	}
	return keys, nil
}

// readPrivateKey reads an Ed25519 key from a PKCS #8 PEM file.
func readPrivateKey(name string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%s: not a PEM file", name)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: %w", name, errors.New("not an Ed25519 key"))
	}
	return key, nil
}
