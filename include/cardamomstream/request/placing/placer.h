/// Chooses the upstream of a request, or refuses it.
#pragma once

#include "cardamomstream/request/placing/fleet_load.h"

#include <random>

namespace cardamomstream {

/// Answers for load that comes to one VM while others send to the same upstreams: a request goes where its
/// first byte is predicted to come soonest, in another region only when that is sooner by more than the way
/// there, and is refused at once when no upstream would answer within its objective. Not thread safe.
class placer {
public:
    /// `started_at`: a process that has just started has not heard of every VM of its region yet. `self`: by
    /// which the other VMs of the region know this one.
    placer(region_name region, data_centre_name data_centre, placing_settings settings, std::uint64_t seed,
           time_point started_at = {}, const endpoint& self = {});

    /// VMs of every region that take requests; the own region counts this VM beside them.
    void set_vms(const known_vms& vms);

    placement place(const placing_request& request, const service_plan& plan, const fleet_load& load,
                    time_point now);

    /// Predicted time to the first byte at one upstream of the own region.
    std::chrono::milliseconds predict(const placing_request& request, const fleet_load& load,
                                      const fleet_load::upstream_state& state, time_point now) const;

    /// Time by which a request that is passed on reaches the other region.
    std::chrono::milliseconds region_delay() const { return m_settings.region_round_trip / 2; }

private:
    struct candidate;

    candidate rate(const placing_request& request, const fleet_load& load,
                   const fleet_load::upstream_state& state, time_point now) const;
    /// Requests that this VM may send to a cold upstream in a second.
    std::size_t cold_share(const upstream_name& upstream, double bound, time_point now) const;
    bool cold_room(const fleet_load::upstream_state& state, const plan_service& service,
                   time_point now) const;
    static void add_failure_costs(std::vector<candidate>& candidates);
    /// Upstreams that the request may use; `without` tells why there is none.
    std::vector<candidate> candidates_for(const placing_request& request, const service_plan& plan,
                                          const fleet_load& load, time_point now,
                                          placing_verdict& without) const;

    /// The upstream on which the VMs of a region agree for the request's shared prompt; null without one.
    const upstream_name* prefer_one(const placing_request& request, std::vector<candidate>& candidates) const;

    void keep_some(std::vector<candidate>& candidates, const upstream_name* preferred);
    endpoint vm_of(const region_name& region);
    placement refuse(const placing_request& request, placing_verdict verdict,
                     std::chrono::milliseconds predicted);

    region_name m_region;
    data_centre_name m_data_centre;
    placing_settings m_settings;
    std::mt19937_64 m_random;
    time_point m_started_at;
    double m_refused_part = 0; ///< of the last requests, as an average that fades
    std::unordered_map<region_name, std::vector<endpoint>> m_vms;
    struct neighbour {
        std::uint64_t hash = 0;
        bool near = false; ///< in the own data centre
        time_point heard_at;
    };

    std::uint64_t m_self;                                 ///< hash of the own address
    std::unordered_map<endpoint, neighbour> m_neighbours; ///< VMs of the own region
};

} // namespace cardamomstream
