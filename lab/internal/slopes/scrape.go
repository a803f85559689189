package slopes

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const scrapeTimeout = 5 * time.Second

// sample holds the metrics of one instance by name, summed over labels.
type sample map[string]float64

// scrape reads the metrics of one instance.
func scrape(ctx context.Context, admin string) (sample, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("build scrape: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("scrape %s: %w", admin, err)
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, fmt.Errorf("parse metrics of %s: %w", admin, err)
	}
	s := make(sample)
	for name, family := range families {
		for _, m := range family.GetMetric() {
			s[name] += m.GetUntyped().GetValue() + m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return s, nil
}

// scrapeAll reads the metrics of all instances in parallel.
func scrapeAll(ctx context.Context, admins []string) ([]sample, error) {
	samples := make([]sample, len(admins))
	errs := make([]error, len(admins))
	var group sync.WaitGroup
	for i, admin := range admins {
		group.Go(func() { samples[i], errs[i] = scrape(ctx, admin) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	if len(samples) == 0 {
		return nil, errors.New("no instances to measure")
	}
	return samples, nil
}

// mean returns the mean of a metric over the instances.
func mean(samples []sample, name string) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += s[name]
	}
	return sum / float64(len(samples))
}
