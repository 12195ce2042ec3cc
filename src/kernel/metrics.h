#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chestnut
{

using metric_labels = std::map<std::string, std::string>;

// Counters, gauges and histograms of this process (prometheus-cpp). Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // Adds to a counter; amount must not be negative.
    void count(const std::string &name, const metric_labels &labels = {}, double amount = 1);
    // Sets a gauge.
    void set(const std::string &name, double value, const metric_labels &labels = {});
    // Adds a duration in seconds to a histogram.
    void observe(const std::string &name, double value, const metric_labels &labels = {});
    // Returns all metrics in the Prometheus text format.
    std::string expose() const;
    // Sum of a counter or gauge over all label sets, 0 if the metric does not exist.
    double total(const std::string &name) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
