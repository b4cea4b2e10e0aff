/// Chooses the upstream of a request, or refuses it.
#pragma once

#include "cardamomstream/request/placing/fleet_load.h"

#include <random>

namespace cardamomstream {

/// Sends a request to the upstream with the earliest predicted first byte, taking into account that other VMs
/// send to the same upstreams. Another region is chosen only when it is faster in spite of the round trip.
/// The request is refused at once when no upstream would answer within its objective. Not thread safe.
class placer {
public:
    /// `started_at`: a process that has just started does not know every VM of its region yet. `self`: the
    /// inner address by which the other VMs of the region know this one.
    placer(region_name region, data_centre_name data_centre, placing_settings settings, std::uint64_t seed,
           time_point started_at = {}, const endpoint& self = {});

    /// Sets the other VMs of every region; this VM is counted in addition in its own region.
    void set_vms(const known_vms& vms);

    /// True when another VM of the region has its links.
    bool others_linked() const { return !m_region_vms.empty(); }

    /// Chooses an upstream, or refuses the request.
    placement place(const placing_request& request, const service_plan& plan, const fleet_load& load,
                    time_point now);

    /// True when some upstream could take the request now and is likely to answer in time.
    bool has_alternative(const placing_request& request, const service_plan& plan, const fleet_load& load,
                         time_point now) const;

    /// Predicted time to the first byte at one upstream of this VM's region.
    std::chrono::milliseconds predict(const placing_request& request, const fleet_load& load,
                                      const fleet_load::upstream_state& state, time_point now) const;

    /// Time that a request needs to reach another region.
    std::chrono::milliseconds region_delay() const { return m_settings.region_round_trip / 2; }

private:
    struct candidate;

    /// Predicts the first byte at the upstream and the upstream's cost for the request.
    candidate score(const placing_request& request, const fleet_load& load,
                    const fleet_load::upstream_state& state, time_point now) const;
    /// The VMs of this data centre that share what an upstream accepts, this VM included.
    struct sharing {
        std::size_t vms = 1;
        std::size_t rank = 0; ///< of this VM in rendezvous hashing, 0 is first
    };
    sharing sharing_of(const upstream_name& upstream, time_point now) const;
    /// Requests that this VM may send to a cold upstream per second.
    std::size_t cold_request_limit(const upstream_name& upstream, double bound, time_point now) const;
    /// Requests per second that this VM may send, or pass on, to an upstream with a limit; may be zero.
    double share_of_limit(const upstream_view& upstream, double limit, time_point now) const;
    /// Time until the upstream's stated limit allows a request of this VM; zero without a limit.
    std::chrono::milliseconds limit_wait(const fleet_load& load, const fleet_load::upstream_state& state,
                                         time_point now) const;
    /// False when the upstream may be cold and has got its requests of this second.
    bool allows_cold_request(const fleet_load& load, const fleet_load::upstream_state& state,
                             const plan_service& service, time_point now) const;
    /// Until the upstream may have room for the request; zero: it has. A request that has begun is not held
    /// to what an engine should run.
    static std::chrono::milliseconds room_delay(const placing_request& request, const fleet_load& load,
                                                const fleet_load::upstream_state& state, time_point now);
    /// Adds a cost to upstreams that fail more often than the best candidate.
    static void add_failure_costs(std::vector<candidate>& candidates);
    /// Why no upstream may be used now.
    struct exclusion {
        placing_verdict verdict = placing_verdict::no_upstream;
        std::chrono::milliseconds wait{0}; ///< until an upstream may be used again; 0: unknown
    };
    /// Upstreams that the request may use; sets `excluded` if there are none.
    std::vector<candidate> candidates_for(const placing_request& request, const service_plan& plan,
                                          const fleet_load& load, time_point now, exclusion& excluded) const;

    /// Lowers the cost of the upstream that all VMs of a region prefer for the request's shared prompt, and
    /// returns that upstream; null without a shared prompt.
    const upstream_name* apply_prefix_affinity(const placing_request& request,
                                               std::vector<candidate>& candidates) const;

    /// Reduces the candidates to a random sample, the preferred one and those with a cached prefix.
    void sample_candidates(std::vector<candidate>& candidates, const upstream_name* preferred);
    /// A random VM of another region.
    endpoint random_vm_in(const region_name& region);
    /// VMs of this region to which the request may be passed on; none while this VM has its own links.
    std::vector<endpoint> next_vms(const placing_request& request, const fleet_load& load) const;
    endpoint random_of(const std::vector<endpoint>& vms);
    void count_refusal(bool refused);
    placement refuse(const placing_request& request, placing_verdict verdict,
                     std::chrono::milliseconds predicted);

    region_name m_region;
    data_centre_name m_data_centre;
    placing_settings m_settings;
    std::mt19937_64 m_random;
    time_point m_started_at;
    double m_refused_fraction = 0; ///< moving average over the last requests
    std::size_t m_fleet_size = 1;  ///< VMs of all regions, including this one
    // Ready VMs that have links to the upstreams of their region, those of large machines several times:
    std::unordered_map<region_name, std::vector<endpoint>> m_remote_vms; ///< of the other regions
    std::vector<endpoint> m_region_vms;                                  ///< of this one, without this VM
    struct neighbour {
        std::uint64_t hash = 0;
        bool same_data_centre = false; ///< as this VM
        time_point received_at;
    };

    std::uint64_t m_self_hash;                            ///< hash of this VM's address
    std::unordered_map<endpoint, neighbour> m_neighbours; ///< VMs of this VM's region
};

} // namespace cardamomstream
