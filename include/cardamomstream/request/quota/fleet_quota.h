/// A customer's allowance over all VMs, kept without shared state: each VM tells the others what it has
/// admitted and takes what it hears off its own copy of the customer's token bucket.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Answers for load that comes to any VM. While every VM is heard, the copies differ by what was admitted
/// within one report interval. For VMs that may run but are not heard, the bucket fills with this VM's part
/// only, so that parts of a divided fleet together fill at the customer's rate. Not thread safe.
class fleet_quota {
public:
    /// `heard` of `sharers` other VMs report at present.
    void set_fleet(std::size_t heard, std::size_t sharers);

    /// Takes the allowances of a new plan; levels are kept, and cut to a smaller burst.
    void set_plan(const service_plan& plan, time_point now);

    /// Admits while the customer's level is above zero; one request may take it below.
    bool admit(const customer_name& customer, double amount, time_point now);

    /// Gives back what a request took that did not run.
    void refund(const customer_name& customer, double amount);

    /// Takes what another VM, or all of another data centre, has admitted since the last report, and gives
    /// back what was given back there. The first report of a process is its base; the first summary by
    /// another VM too, since its sums began at another time.
    void apply(const vm_report& report);

    /// Time until the customer's level is above zero, at the present rate.
    std::chrono::milliseconds time_to_admit(const customer_name& customer, time_point now);

    std::vector<customer_use> uses() const;

private:
    struct bucket {
        customer_allowance allowance;
        double level = 0;
        double admitted = 0; ///< here, since the start, less what was given back
        bool used = false;   ///< something was admitted here
        time_point filled_at;
    };

    struct peer_uses {
        vm_name told_by;
        incarnation process;
        std::unordered_map<customer_name, double> admitted;
    };

    void fill(bucket& one, time_point now) const;

    std::unordered_map<customer_name, bucket> m_buckets;
    std::unordered_map<vm_name, peer_uses> m_peers;
    std::unordered_map<data_centre_name, peer_uses> m_data_centres;
    double m_part = 1; ///< of the customer's rate that this VM and those it hears may use
};

} // namespace cardamomstream
