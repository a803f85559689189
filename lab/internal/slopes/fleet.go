package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
)

// Fleet is a configuration with the given numbers of models, targets and organisations.
type Fleet struct {
	Models        int
	Targets       int
	Organisations int
	Engine        string // Engine is the address that all targets share.
}

// Key returns the key of an organisation by its number.
func Key(number int) string {
	return fmt.Sprintf("key-%d", number)
}

// ModelName returns the name of a model by its number.
func ModelName(number int) string {
	return fmt.Sprintf("model-%d", number)
}

// Declare stores the configuration in the platform.
func (f Fleet) Declare(ctx context.Context, s store.Store) error {
	var models []string
	for i := range f.Models {
		models = append(models, ModelName(i))
		if err := put(ctx, s, conf.KindModel, ModelName(i), conf.Model{Versions: []string{"1"}, Default: "1"}); err != nil {
			return err
		}
	}
	for i := range f.Targets {
		target := conf.Target{Address: f.Engine, Domain: fmt.Sprint("fd-", i%7), Models: []string{ModelName(i % f.Models)}, Slots: 1000}
		if err := put(ctx, s, conf.KindTarget, fmt.Sprint("target-", i), target); err != nil {
			return err
		}
	}
	var sheet conf.Sheet
	sheet.Date = "2026-12-04"
	for i := range f.Organisations {
		sum := sha256.Sum256([]byte(Key(i)))
		name := fmt.Sprint("org-", i)
		if err := put(ctx, s, conf.KindOrganisation, name, conf.Organisation{KeyHash: hex.EncodeToString(sum[:])}); err != nil {
			return err
		}
		sheet.Limits = append(sheet.Limits, conf.Limit{
			Organisation: name, Share: 100 / float64(f.Organisations), Ceiling: 1000, Models: models, Recovery: "latency",
		})
	}
	return put(ctx, s, conf.KindSheet, "co-operative", sheet)
}

// put stores one object.
func put(ctx context.Context, s store.Store, kind, name string, value conf.Value) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	if _, err := s.Put(ctx, store.Object{Kind: kind, Name: name, Value: encoded}); err != nil {
		return fmt.Errorf("store %s/%s: %w", kind, name, err)
	}
	return nil
}
