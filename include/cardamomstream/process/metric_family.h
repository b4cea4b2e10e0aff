/// Typed faces over the metric families of prometheus-cpp: the labels are arguments of a type, durations are
/// std::chrono values. All are safe to use from any thread.
#pragma once

#include "cardamomstream/process/metrics_types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cardamomstream {

/// Name, help text and label names of a family with `LabelCount` labels.
template <std::size_t LabelCount>
struct metric_description {
    std::string name;
    std::string help;
    std::array<std::string, LabelCount> labels;
};

namespace detail {

template <class... Label>
prometheus::Labels labels_of(const std::array<std::string, sizeof...(Label)>& names, const Label&... label)
{
    prometheus::Labels labels;
    std::size_t index = 0;
    (labels.emplace(names[index++], label_of(label)), ...);
    return labels;
}

} // namespace detail

/// Counters that only grow, one for each combination of labels.
template <class... Label>
class counter_family {
public:
    counter_family(prometheus::Registry& registry, metric_description<sizeof...(Label)> description)
        : m_family(
              &prometheus::BuildCounter().Name(description.name).Help(description.help).Register(registry))
        , m_label_names(std::move(description.labels))
    {
    }

    void increment(const Label&... label) { add(1, label...); }

    void add(std::uint64_t count, const Label&... label)
    {
        m_family->Add(detail::labels_of(m_label_names, label...)).Increment(static_cast<double>(count));
    }

private:
    prometheus::Family<prometheus::Counter>* m_family;
    std::array<std::string, sizeof...(Label)> m_label_names;
};

/// Values that go up and down, one for each combination of labels.
template <class... Label>
class gauge_family {
public:
    gauge_family(prometheus::Registry& registry, metric_description<sizeof...(Label)> description)
        : m_family(&prometheus::BuildGauge().Name(description.name).Help(description.help).Register(registry))
        , m_label_names(std::move(description.labels))
    {
    }

    void set(double value, const Label&... label) { gauge(label...).Set(value); }

    /// Sets the gauge to a duration in seconds.
    void set(std::chrono::nanoseconds value, const Label&... label)
    {
        set(std::chrono::duration<double>{value}.count(), label...);
    }

    void increment(const Label&... label) { gauge(label...).Increment(); }
    void decrement(const Label&... label) { gauge(label...).Decrement(); }

private:
    prometheus::Gauge& gauge(const Label&... label)
    {
        return m_family->Add(detail::labels_of(m_label_names, label...));
    }

    prometheus::Family<prometheus::Gauge>* m_family;
    std::array<std::string, sizeof...(Label)> m_label_names;
};

/// Distributions of durations in seconds, one for each combination of labels.
template <class... Label>
class duration_family {
public:
    /// `bounds` are the upper bounds of the buckets, ascending.
    duration_family(prometheus::Registry& registry, metric_description<sizeof...(Label)> description,
                    const std::vector<std::chrono::milliseconds>& bounds)
        : m_family(
              &prometheus::BuildHistogram().Name(description.name).Help(description.help).Register(registry))
        , m_label_names(std::move(description.labels))
    {
        m_bounds.reserve(bounds.size());
        for (const auto bound : bounds) {
            m_bounds.push_back(std::chrono::duration<double>{bound}.count());
        }
    }

    void observe(std::chrono::nanoseconds value, const Label&... label)
    {
        m_family->Add(detail::labels_of(m_label_names, label...), m_bounds)
            .Observe(std::chrono::duration<double>{value}.count());
    }

private:
    prometheus::Family<prometheus::Histogram>* m_family;
    std::array<std::string, sizeof...(Label)> m_label_names;
    prometheus::Histogram::BucketBoundaries m_bounds;
};

} // namespace cardamomstream
