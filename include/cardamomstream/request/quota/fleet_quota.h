/// A customer's allowance over all VMs, without shared state: each VM reports what it has admitted, and
/// subtracts what the others report from its own copy of the customer's token bucket.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// While reports arrive from every VM, the copies differ only by what was admitted within one report
/// interval. While some VMs do not report but may be running, the bucket refills only at the share of the
/// rate that belongs to this VM and the reporting ones, so that the parts of a partitioned fleet together
/// refill at the customer's rate. Not thread safe.
class fleet_quota {
public:
    /// `reporting` of `sharers` other VMs send reports at present.
    void set_fleet_size(std::size_t reporting, std::size_t sharers);

    /// Applies the allowances of a new plan. Levels are kept, but limited to the new burst.
    void set_plan(const service_plan& plan, time_point now);

    /// Admits while the customer's level is above zero; a single request may make it negative.
    bool admit(const customer_name& customer, double amount, time_point now);

    /// Returns the amount charged for a request that did not run.
    void refund(const customer_name& customer, double amount);

    /// Subtracts what another VM, or all of another data centre, has admitted since its last report, and adds
    /// what was refunded there. The first report of a process only sets the baseline, and so does the first
    /// summary by another VM, since its sums began at another time.
    void apply_report(const vm_report& report);

    /// Time until the customer's level reaches zero, at the present rate.
    std::chrono::milliseconds time_to_admit(const customer_name& customer, time_point now);

    /// What this VM has admitted for each customer, for its report.
    std::vector<customer_use> uses() const;

private:
    struct bucket {
        customer_allowance allowance;
        double level = 0;
        double admitted = 0; ///< by this VM since its start, less refunds
        bool used = false;   ///< this VM has admitted a request of the customer
        time_point refilled_at;
    };

    struct reported_uses {
        vm_name reporter;
        incarnation process;
        std::unordered_map<customer_name, double> admitted;
    };

    void refill(bucket& target, time_point now) const;

    std::unordered_map<customer_name, bucket> m_buckets;
    std::unordered_map<vm_name, reported_uses> m_peers;
    std::unordered_map<data_centre_name, reported_uses> m_data_centres;
    double m_rate_fraction = 1; ///< fraction of the rate for this VM and those that report
};

} // namespace cardamomstream
