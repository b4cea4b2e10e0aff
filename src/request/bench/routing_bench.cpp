/// Compares routing policies in virtual time, with the same seed and load.
#include "gateway_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <string>

#include <cxxopts.hpp>
#include <fmt/core.h>

namespace cardamomstream::bench {
namespace {

enum class scenario { calm, wandering_peak, five_times, five_times_with_allowance, half_region_lost, stalls };

struct fleet_shape {
    std::string name;
    std::vector<std::size_t> workers; ///< by region
    seconds round_trip;
    double link_requests_per_second;
};

const std::array shapes{fleet_shape{"association", {5, 3, 2}, seconds{0.16}, 50},
                        fleet_shape{"dairy", {9, 6, 3}, seconds{0.16}, 3}};
const std::array scenarios{std::pair{scenario::calm, "calm"},
                           std::pair{scenario::wandering_peak, "wandering peak"},
                           std::pair{scenario::five_times, "5x, no allowance"},
                           std::pair{scenario::five_times_with_allowance, "5x behind allowance"},
                           std::pair{scenario::half_region_lost, "half region lost"},
                           std::pair{scenario::stalls, "workers stall"}};
const std::array policies{std::pair{policy::random, "random"},
                          std::pair{policy::least_loaded, "least loaded"},
                          std::pair{policy::full, "ours"},
                          std::pair{policy::no_affinity, "no affinity"},
                          std::pair{policy::no_send_away, "no send away"},
                          std::pair{policy::hedged, "ours, hedged"}};

constexpr std::array customer_shares{0.4, 0.3, 0.15, 0.1, 0.05};
constexpr std::size_t heavy_customer = 1;
constexpr std::size_t home_only_customer = 2;
constexpr double calm_utilisation = 0.5; // of the slots
constexpr double worker_requests_per_second = 1.7;
constexpr std::size_t vms_per_region = 2;
constexpr std::size_t prefixes_per_customer = 40;
constexpr seconds report_interval{0.5};

struct run_results {
    std::vector<double> first_token;
    std::vector<double> others;
    std::array<double, customer_shares.size()> sum{};
    std::array<double, customer_shares.size()> count{};
    double ended = 0;
    double refused = 0;
    double refused_others = 0;
    double sent = 0;
    double late = 0;
    double served_tokens = 0;
};

double percentile(std::vector<double>& values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank] * 1'000;
}

class simulation {
public:
    simulation(const fleet_shape& shape, scenario chosen, policy compared, seconds length, std::uint64_t seed)
        : m_shape(shape)
        , m_scenario(chosen)
        , m_length(length)
        , m_load(seed)
    {
        m_fleet.random.seed(seed + 1);
        m_fleet.round_trip = shape.round_trip;
        m_fleet.on_call_end = [this](const call_result& result) { count(result); };
        for (std::size_t region = 0; region < shape.workers.size(); ++region) {
            m_fleet.regions.emplace_back("region-" + std::to_string(region));
            for (std::size_t i = 0; i < shape.workers[region]; ++i) {
                worker_shape worker;
                worker.region = region;
                m_fleet.workers.push_back(std::make_unique<worker_model>(m_fleet.time, worker));
            }
        }
        for (std::size_t i = 0; i < shape.workers.size() * vms_per_region; ++i) {
            m_vms.push_back(std::make_unique<gateway_model>(m_fleet, i / vms_per_region, compared));
        }
        make_rules();
    }

    run_results measure()
    {
        std::vector<gateway_model*> all;
        std::transform(m_vms.begin(), m_vms.end(), std::back_inserter(all),
                       [](auto& vm) { return vm.get(); });
        for (auto& vm : m_vms) {
            std::shuffle(all.begin(), all.end(), m_fleet.random);
            vm->set_peers(all);
        }
        report();
        for (std::size_t region = 0; region < m_fleet.regions.size(); ++region) {
            next_arrival(region);
        }
        if (m_scenario == scenario::half_region_lost) {
            m_fleet.time.after(m_length / 3,
                               [this] { change_half([](worker_model& worker) { worker.fail(); }); });
            m_fleet.time.after(m_length * 2 / 3,
                               [this] { change_half([](worker_model& worker) { worker.recover(); }); });
        }
        if (m_scenario == scenario::stalls) {
            for (auto& worker : m_fleet.workers) {
                next_stall(*worker);
            }
        }
        const seconds drain{60};
        m_fleet.time.run_until(time_point{} +
                               std::chrono::duration_cast<boot_clock::duration>(m_length + drain));
        return m_results;
    }

    double token_seconds() const
    {
        return std::accumulate(m_fleet.workers.begin(), m_fleet.workers.end(), 0.0,
                               [](double sum, const auto& worker) { return sum + worker->token_seconds(); });
    }

private:
    void make_rules()
    {
        auto current = std::make_shared<rules>();
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            current->vms[vm_name{std::to_string(i)}].region = m_fleet.regions[m_vms[i]->region()];
        }
        for (const auto& from : m_fleet.regions) {
            for (const auto& to : m_fleet.regions) {
                current->links[from.str() + to.str()] = {from, to, m_shape.link_requests_per_second};
            }
        }
        current->pools[pool_name{"pool"}] = {};
        m_rules = current;
    }

    /// Publishes the present load and list, which reach the VMs one report interval later.
    void report()
    {
        routing_view view;
        view.rules = m_rules;
        auto list = std::make_shared<vm_list>();
        const std::chrono::milliseconds lag{500};
        for (std::size_t i = 0; i < m_fleet.workers.size(); ++i) {
            const auto& worker = *m_fleet.workers[i];
            if (!worker.alive()) {
                continue;
            }
            const auto& region = m_fleet.regions[worker.shape().region];
            list->upstreams[worker_name(i)] = {pool_name{"pool"},    region, {}, {}, listed_state::live,
                                               worker.shape().slots, false};
            view.upstream_loads[worker_name(i)] = {static_cast<double>(worker.in_flight()), lag};
            auto& load = view.loads[{region, pool_name{"pool"}}];
            load.in_flight += static_cast<double>(worker.in_flight());
            load.slots += worker.shape().slots;
            load.age = lag;
            load.round_trip = std::chrono::duration_cast<std::chrono::milliseconds>(m_shape.round_trip);
        }
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            const auto& region = m_fleet.regions[m_vms[i]->region()];
            view.peers.push_back({vm_name{std::to_string(i)}, region});
            view.loads[{region, pool_name{"pool"}}].queued += static_cast<double>(m_vms[i]->queued());
        }
        view.list = list;
        const bool first = m_fleet.time.now() == time_point{};
        m_fleet.time.after(first ? seconds{0} : report_interval, [this, view] {
            for (auto& vm : m_vms) {
                vm->publish(view);
            }
        });
        m_fleet.time.after(report_interval, [this] { report(); });
    }

    void next_stall(worker_model& worker)
    {
        std::exponential_distribution<double> gap{1.0 / 60};
        m_fleet.time.after(seconds{gap(m_stalls)}, [this, &worker] {
            worker.stall(seconds{2});
            next_stall(worker);
        });
    }

    double rate_of(std::size_t region) const
    {
        const double capacity = static_cast<double>(m_shape.workers[region]) * worker_requests_per_second;
        if (m_scenario != scenario::wandering_peak) {
            return capacity * calm_utilisation;
        }
        const auto phase = static_cast<std::size_t>((m_fleet.time.now().time_since_epoch() / seconds{120}));
        return capacity * (phase % m_shape.workers.size() == region ? 1.2 : 0.35);
    }

    void next_arrival(std::size_t region)
    {
        const bool heavy =
            m_scenario == scenario::five_times || m_scenario == scenario::five_times_with_allowance;
        const double extra = heavy ? customer_shares[heavy_customer] * 4 : 0;
        std::exponential_distribution<double> gap{rate_of(region) * (1 + extra)};
        m_fleet.time.after(seconds{gap(m_load)}, [this, region, heavy] {
            if (m_fleet.time.now().time_since_epoch() < m_length) {
                arrive(region, heavy);
                next_arrival(region);
            }
        });
    }

    void arrive(std::size_t region, bool heavy)
    {
        auto shares = customer_shares;
        shares[heavy_customer] *= heavy ? 5 : 1;
        call request;
        request.customer = std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(m_load);
        request.home = region;
        request.arrived = m_fleet.time.now();
        const double popularity = std::uniform_real_distribution<double>{0, 1}(m_load);
        const auto prefix = static_cast<std::size_t>(popularity * popularity * prefixes_per_customer);
        request.digest = 1 + request.customer * prefixes_per_customer + prefix;
        request.prefix = 1'500;
        request.prompt = request.prefix + std::uniform_int_distribution<token_count>{100, 900}(m_load);
        request.answer = std::min<token_count>(
            600, 30 + static_cast<token_count>(std::exponential_distribution<double>{1.0 / 120}(m_load)));
        request.home_only = request.customer == home_only_customer;
        const auto vm = region * vms_per_region +
                        std::uniform_int_distribution<std::size_t>{0, vms_per_region - 1}(m_load);
        if (m_scenario == scenario::five_times_with_allowance && !within_allowance(request)) {
            return;
        }
        m_vms[vm]->receive(request);
    }

    /// Models the allowance as one exact token bucket: refuses requests above the heavy customer's rate.
    bool within_allowance(const call& request)
    {
        if (request.customer != heavy_customer) {
            return true;
        }
        const double capacity = static_cast<double>(m_fleet.workers.size()) * worker_requests_per_second;
        const double rate = capacity * calm_utilisation * customer_shares[heavy_customer];
        const seconds elapsed = request.arrived - m_allowance_updated_at;
        m_allowance_level = std::min(rate * 5, m_allowance_level + elapsed.count() * rate);
        m_allowance_updated_at = request.arrived;
        if (m_allowance_level < 1) {
            return false;
        }
        m_allowance_level -= 1;
        return true;
    }

    template <class Change>
    void change_half(Change change)
    {
        for (std::size_t i = 0; i < m_shape.workers[0] / 2; ++i) {
            change(*m_fleet.workers[i]);
        }
    }

    void count(const call_result& result)
    {
        m_results.ended += 1;
        m_results.refused += result.refused ? 1 : 0;
        m_results.refused_others += result.refused && result.request.customer != heavy_customer ? 1 : 0;
        m_results.sent += result.sent_away ? 1 : 0;
        if (!result.first_token) {
            return;
        }
        const double latency = result.first_token->count();
        m_results.first_token.push_back(latency);
        if (result.request.customer != heavy_customer) {
            m_results.others.push_back(latency);
        }
        m_results.sum.at(result.request.customer) += latency;
        m_results.count.at(result.request.customer) += 1;
        m_results.late += *result.first_token > m_fleet.deadline ? 1 : 0;
        m_results.served_tokens += static_cast<double>(result.request.prompt + result.request.answer);
    }

    fleet_shape m_shape;
    scenario m_scenario;
    seconds m_length;
    std::mt19937_64 m_load;
    std::mt19937_64 m_stalls{3};
    fleet m_fleet;
    std::vector<std::unique_ptr<gateway_model>> m_vms;
    rules_snapshot m_rules;
    run_results m_results;
    double m_allowance_level = 0;
    time_point m_allowance_updated_at;
};

double worst_over_mean(const run_results& results)
{
    double worst = 0;
    double total = 0;
    double count = 0;
    for (std::size_t i = 0; i < customer_shares.size(); ++i) {
        worst = std::max(worst, results.sum.at(i) / std::max(1.0, results.count.at(i)));
        total += results.sum.at(i);
        count += results.count.at(i);
    }
    return worst * count / std::max(1e-9, total);
}

void compare(const fleet_shape& shape, seconds length, std::uint64_t seed)
{
    std::map<policy, double> calm_others;
    for (const auto& [chosen, scenario_name] : scenarios) {
        fmt::print("\n{}, {}\n", shape.name, scenario_name);
        fmt::print("{:<14}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>8}{:>11}{:>9}{:>7}{:>7}\n", "policy", "p50 ms",
                   "p99 ms", "p99.9", "sent %", "refused%", "others%", "late %", "others p99", "to calm",
                   "worst", "cost");
        for (const auto& [compared, name] : policies) {
            simulation simulated{shape, chosen, compared, length, seed};
            auto results = simulated.measure();
            const double others = percentile(results.others, 0.99);
            calm_others.try_emplace(compared, others);
            fmt::print("{:<14}{:>8.0f}{:>8.0f}{:>8.0f}{:>8.2f}{:>9.2f}{:>9.2f}{:>8.2f}{:>11.0f}{:>9.2f}{:>7."
                       "2f}{:>7.3f}\n",
                       name, percentile(results.first_token, 0.5), percentile(results.first_token, 0.99),
                       percentile(results.first_token, 0.999), 100 * results.sent / results.ended,
                       100 * results.refused / results.ended, 100 * results.refused_others / results.ended,
                       100 * results.late / results.ended, others, others / calm_others[compared],
                       worst_over_mean(results), simulated.token_seconds() / results.served_tokens);
        }
    }
}

} // namespace
} // namespace cardamomstream::bench

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options{"cardamomstream_routing_bench", "Compares routing policies in virtual time"};
        auto add = options.add_options();
        add("seconds", "virtual seconds of load", cxxopts::value<double>()->default_value("1800"));
        add("seed", "of load and choices", cxxopts::value<std::uint64_t>()->default_value("1"));
        const auto arguments = options.parse(argc, argv);
        for (const auto& shape : cardamomstream::bench::shapes) {
            cardamomstream::bench::compare(shape,
                                           cardamomstream::bench::seconds{arguments["seconds"].as<double>()},
                                           arguments["seed"].as<std::uint64_t>());
        }
    }
    catch (const std::exception& failure) {
        fmt::print(stderr, "{}; see --help for the options\n", failure.what());
        return 2;
    }
    return 0;
}
