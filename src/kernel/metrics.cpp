#include "kernel/metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chestnut
{

namespace
{

// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries BUCKETS_SECONDS{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.078, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

}

class metrics::implementation
{
public:
    // Returns the metric family of this name and creates it on first use.
    template <typename builder, typename family>
    family &familyOf(std::map<std::string, family *> &known, builder build, const std::string &name)
    {
        family *&found = known[name];
        if (found == nullptr) {
            found = &build.Name(name).Help(name).Register(registry);
        }
        return *found;
    }

    prometheus::Registry registry;
    std::mutex mutex; // guards the maps
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
};

metrics::metrics()
    : m_impl(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

void metrics::count(const std::string &name, const metric_labels &labels, double amount)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->familyOf(m_impl->counters, prometheus::BuildCounter(), name).Add(labels).Increment(amount);
}

void metrics::set(const std::string &name, double value, const metric_labels &labels)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->familyOf(m_impl->gauges, prometheus::BuildGauge(), name).Add(labels).Set(value);
}

void metrics::observe(const std::string &name, double value, const metric_labels &labels)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->familyOf(m_impl->histograms, prometheus::BuildHistogram(), name).Add(labels, BUCKETS_SECONDS).Observe(value);
}

std::string metrics::expose() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_impl->registry.Collect());
}

double metrics::total(const std::string &name) const
{
    double sum = 0;
    for (const prometheus::MetricFamily &family : m_impl->registry.Collect()) {
        if (family.name != name) {
            continue;
        }
        for (const prometheus::ClientMetric &metric : family.metric) {
            sum += metric.counter.value + metric.gauge.value;
        }
    }
    return sum;
}

}
