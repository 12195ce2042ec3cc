#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chestnut
{

using metric_labels = std::map<std::string, std::string>;

// Counters, gauges and histograms of this process (prometheus-cpp). Any thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void count(const std::string &name, const metric_labels &labels = {}, double amount = 1);
    void set(const std::string &name, double value, const metric_labels &labels = {});
    // Adds a value to a histogram of durations in seconds.
    void observe(const std::string &name, double value, const metric_labels &labels = {});
    // Text exposition format.
    std::string expose() const;
    // Sum of a counter family over all label sets; 0 if it was never counted.
    double total(const std::string &name) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
