/// The operators' rules of one version, as plain values. One accepted version is one immutable `rules`.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomstream {

/// SHA-256 of a caller's key.
using key_digest = std::array<std::uint8_t, 32>;

/// A region and its data centres.
struct region_rule {
    std::vector<data_centre_name> data_centres;
};

/// One slot of the roster: the entry VM that may hold a fixed part of every customer's allowance.
/// The part belongs to the address, which one process at a time can hold.
struct vm_rule {
    region_name region;
    data_centre_name data_centre;
    endpoint entry; ///< where callers connect
    endpoint peer;  ///< where the other VMs connect
};

/// What one customer may do.
struct customer_rule {
    token_rate rate;                             ///< over all VMs together
    token_count burst = 0;                       ///< over all VMs together
    std::set<region_name> regions;               ///< residency; empty: every region
    std::map<region_name, double> demand_shares; ///< expected share by region; empty: equal
    double queue_weight = 1;                     ///< weight in the fair queue
    std::uint32_t max_connections = 256;         ///< at one VM
};

/// One key of a customer; only its digest is published.
struct key_rule {
    customer_name customer;
    key_digest digest{};
};

enum class pool_kind { model, service };

/// A set of upstreams that serve the same thing, with its time limits.
struct pool_rule {
    pool_kind kind = pool_kind::model;
    std::chrono::milliseconds first_byte_limit{10'000};
    std::chrono::milliseconds chunk_gap_limit{5'000};
    std::chrono::milliseconds total_limit{300'000};
    std::chrono::milliseconds first_token_target{720}; ///< what routing tries to meet
};

/// A model and the pool that serves it.
struct model_rule {
    pool_name pool;
    std::set<customer_name> customers; ///< empty: every customer
};

enum class route_access {
    customers, ///< a key is needed
    open,      ///< served to all
};

enum class repeat_policy {
    idempotent,   ///< may be sent again
    at_most_once, ///< runs with a ticket, once
};

/// A path prefix that leads to a pool of plain services.
struct route_rule {
    std::string path;              ///< prefix, starts with '/'
    std::set<std::string> methods; ///< empty: every method
    pool_name pool;
    route_access access = route_access::customers;
    repeat_policy repeat = repeat_policy::idempotent;
    std::set<customer_name> customers; ///< empty: every customer
    token_count cost = 1;              ///< tokens charged for one call
};

/// What may be sent from one region to another.
struct link_rule {
    region_name from;
    region_name to;
    double requests_per_second = 0;
};

/// All rules of one version.
struct rules {
    version_number version = 0;
    std::map<region_name, region_rule> regions;
    std::map<vm_name, vm_rule> vms;
    std::map<customer_name, customer_rule> customers;
    std::map<key_name, key_rule> keys;
    std::map<pool_name, pool_rule> pools;
    std::map<model_name, model_rule> models;
    std::map<route_name, route_rule> routes;
    std::map<std::string, link_rule> links;
};

using rules_snapshot = std::shared_ptr<const rules>;

} // namespace cardamomstream
