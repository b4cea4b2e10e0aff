/// Measures in virtual time how many requests are refused although their customer stays within its rate and
/// burst, while its demand moves between VMs and regions. Every mode of sharing runs on the same requests.
#include "../tests/virtual_fleet.h"

#include <array>
#include <cstdio>
#include <string>

#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace cardamomstream;
using namespace cardamomstream::testing;
using namespace std::chrono_literals;

namespace {

struct bench_settings {
    std::uint64_t seed = 1;
    int vms_per_region = 2;
    double load = 0.7;             ///< mean demand of each customer as a fraction of its rate
    virtual_time length = 600s;    ///< measured time
    virtual_time max_wait = 400ms; ///< longest wait for a loan
    virtual_time mean_stay = 20s;  ///< mean time that a customer's requests stay focused on one VM
    double burst_used = 1;         ///< largest share of its burst that a customer uses
    double home_share = 0.7;       ///< share of a customer's requests at that VM
};

struct bench_customer {
    customer_name name;
    customer_rule rule;
};

/// A request that a single bucket with the customer's whole rate and burst admits.
struct arrival {
    virtual_time when{0};
    std::string vm;
    fleet_request request;
};

struct outcome {
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    double excess = 0;
    double messages_per_vm_second = 0;
    double worst_customer = 0; ///< largest share of refused requests of any customer
};

constexpr virtual_time warm_up = 60s;
const std::array<std::string, 3> region_names{"riga", "kurzeme", "latgale"};

std::vector<std::string> vm_list(const bench_settings& settings)
{
    std::vector<std::string> vms;
    for (const std::string& region : region_names) {
        for (int number = 1; number <= settings.vms_per_region; ++number) {
            vms.push_back(region + "-" + std::to_string(number));
        }
    }
    return vms;
}

std::vector<bench_customer> customers()
{
    const std::array<std::pair<double, token_count>, 5> sizes{
        {{4000, 40'000}, {2000, 20'000}, {1000, 10'000}, {400, 6'000}, {400, 4'000}}};
    std::vector<bench_customer> result;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        bench_customer added{customer_name{"customer-" + std::to_string(index + 1)}, {}};
        added.rule.rate = {sizes.at(index).first};
        added.rule.burst = sizes.at(index).second;
        result.push_back(added);
    }
    return result;
}

/// Generates the requests of one customer: Poisson arrivals, reduced to those that the whole bucket admits.
class arrival_source {
public:
    arrival_source(const bench_settings& settings, const bench_customer& customer, std::uint64_t seed)
        : m_settings(settings)
        , m_customer(customer)
        , m_random(seed)
        , m_vms(vm_list(settings))
        , m_whole_bucket(whole_bucket(customer, settings.burst_used))
    {
    }

    std::vector<arrival> draw()
    {
        std::vector<arrival> arrivals;
        constexpr double mean_used = 240;
        const double per_second = m_settings.load * m_customer.rule.rate.per_second / mean_used;
        const virtual_time end = warm_up + m_settings.length;
        virtual_time now{0};
        while (now < end) {
            now += seconds(std::exponential_distribution<double>{per_second}(m_random));
            arrival next{now, pick_vm(now), any_request()};
            if (fits_whole_bucket(next)) {
                arrivals.push_back(next);
            }
        }
        return arrivals;
    }

private:
    static virtual_time seconds(double value)
    {
        return std::chrono::duration_cast<virtual_time>(std::chrono::duration<double>(value));
    }

    static allowance_book whole_bucket(const bench_customer& customer, double burst_used)
    {
        auto published = std::make_shared<rules>();
        published->version = 1;
        published->vms[vm_name{"whole"}].region = region_name{"whole"};
        published->customers[customer.name] = customer.rule;
        customer_rule& used = published->customers[customer.name];
        used.burst = static_cast<token_count>(burst_used * static_cast<double>(used.burst));
        allowance_book book{vm_name{"whole"}, incarnation{1}, {}, time_point{}};
        book.apply(published, {{}, {vm_name{"whole"}}, {}}, time_point{});
        return book;
    }

    std::string pick_vm(virtual_time now)
    {
        if (now >= m_next_move) {
            m_home = m_vms.at(m_random() % m_vms.size());
            const double stay = std::chrono::duration<double>(m_settings.mean_stay).count();
            m_next_move = now + seconds(std::exponential_distribution<double>{1 / stay}(m_random));
        }
        const bool at_home = std::uniform_real_distribution<double>{0, 1}(m_random) < m_settings.home_share;
        return at_home ? m_home : m_vms.at(m_random() % m_vms.size());
    }

    fleet_request any_request()
    {
        fleet_request wanted;
        wanted.customer = m_customer.name;
        const auto prompt = std::uniform_int_distribution<token_count>{50, 150}(m_random);
        const auto largest = std::uniform_int_distribution<token_count>{150, 350}(m_random);
        const double part = std::uniform_real_distribution<double>{0.2, 1}(m_random);
        const auto answer = static_cast<token_count>(part * static_cast<double>(largest));
        wanted.charge = prompt + largest;
        wanted.used = prompt + answer;
        wanted.duration = 500ms + answer * 25ms;
        wanted.chunks = 8;
        wanted.max_wait = m_settings.max_wait;
        return wanted;
    }

    bool fits_whole_bucket(const arrival& next)
    {
        while (!m_receipts.empty() && m_receipts.begin()->first <= next.when) {
            const auto [open, tokens] = m_receipts.begin()->second;
            const time_point at{m_receipts.begin()->first};
            m_whole_bucket.consume(*open, tokens, at);
            if (open->consumed >= m_used.at(open.get())) {
                m_whole_bucket.settle(*open, open->consumed, at);
                m_used.erase(open.get());
            }
            m_receipts.erase(m_receipts.begin());
        }
        const auto admitted =
            m_whole_bucket.admit(m_customer.name, next.request.charge, time_point{next.when});
        if (!admitted) {
            return false;
        }
        const auto open = std::make_shared<reservation>(admitted.value());
        m_used[open.get()] = next.request.used;
        const auto chunks = static_cast<token_count>(next.request.chunks);
        token_count passed = 0;
        for (token_count chunk = 1; chunk <= chunks; ++chunk) {
            const token_count until = next.request.used * chunk / chunks;
            m_receipts.emplace(next.when + next.request.duration * chunk / chunks,
                               std::pair{open, until - passed});
            passed = until;
        }
        return true;
    }

    bench_settings m_settings;
    bench_customer m_customer;
    std::mt19937_64 m_random;
    std::vector<std::string> m_vms;
    std::string m_home;
    virtual_time m_next_move{0};
    allowance_book m_whole_bucket;
    std::multimap<virtual_time, std::pair<std::shared_ptr<reservation>, token_count>> m_receipts;
    std::map<const reservation*, token_count> m_used;
};

rules_snapshot publish(const bench_settings& settings)
{
    auto published = std::make_shared<rules>();
    published->version = 1;
    for (const std::string& vm : vm_list(settings)) {
        published->vms[vm_name{vm}].region = region_name{vm.substr(0, vm.find('-'))};
    }
    for (const bench_customer& customer : customers()) {
        published->customers[customer.name] = customer.rule;
    }
    return published;
}

outcome measure(const bench_settings& settings, const std::vector<std::vector<arrival>>& arrivals,
                const fleet_options& options)
{
    virtual_fleet fleet{settings.seed, {}, options};
    const rules_snapshot published = publish(settings);
    const std::vector<std::string> vms = vm_list(settings);
    for (const auto& [customer, rule] : published->customers) {
        fleet.meter(customer.str(), rule.rate, static_cast<double>(rule.burst));
    }
    for (const std::string& vm : vms) {
        fleet.add_vm(vm, vm.substr(0, vm.find('-')));
        fleet.deliver(vm, published);
        fleet.start(vm);
    }
    std::map<customer_name, std::pair<std::uint64_t, std::uint64_t>> counts; // offered, refused
    for (const std::vector<arrival>& one : arrivals) {
        for (const arrival& next : one) {
            fleet.schedule(next.when, [&fleet, &counts, &next] {
                fleet_request wanted = next.request;
                if (next.when >= warm_up) {
                    auto& count = counts[wanted.customer];
                    ++count.first;
                    wanted.on_decision = [&count](bool admitted) { count.second += admitted ? 0 : 1; };
                }
                fleet.request(next.vm, wanted);
            });
        }
    }
    fleet.run_until(warm_up);
    const std::uint64_t messages = fleet.loan_messages();
    fleet.run_until(warm_up + settings.length);
    outcome result;
    for (const auto& [customer, count] : counts) {
        result.offered += count.first;
        result.refused += count.second;
        result.excess = std::max(result.excess, fleet.meter_of(customer.str()).excess());
        const double share = static_cast<double>(count.second) / static_cast<double>(count.first);
        result.worst_customer = std::max(result.worst_customer, share);
    }
    const double seconds = std::chrono::duration<double>(settings.length).count();
    result.messages_per_vm_second =
        static_cast<double>(fleet.loan_messages() - messages) / seconds / static_cast<double>(vms.size());
    return result;
}

void compare(const bench_settings& settings)
{
    std::vector<std::vector<arrival>> arrivals;
    std::uint64_t seed = settings.seed * 1000;
    for (const bench_customer& customer : customers()) {
        arrivals.push_back(arrival_source{settings, customer, ++seed}.draw());
    }
    fleet_options fixed;
    fixed.loans_on_demand = false;
    fixed.loans_ahead = false;
    fleet_options on_demand;
    on_demand.loans_ahead = false;
    const fleet_options ahead;
    const std::array<std::pair<const char*, fleet_options>, 3> modes{
        {{"fixed equal parts", fixed}, {"loans on demand", on_demand}, {"loans ahead of need", ahead}}};
    for (const auto& [label, options] : modes) {
        const outcome result = measure(settings, arrivals, options);
        fmt::print("{:<20} load {:.2f} burst used {:.2f} seed {} offered {:>6} refused {:>5} ({:.3f} %) "
                   "worst customer {:.3f} % "
                   "messages/s/VM {:.2f} tokens above {:.3f}\n",
                   label, settings.load, settings.burst_used, settings.seed, result.offered, result.refused,
                   100.0 * static_cast<double>(result.refused) / static_cast<double>(result.offered),
                   100 * result.worst_customer, result.messages_per_vm_second, std::max(0.0, result.excess));
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"cardamomstream_allowance_bench", "Refusals within the rate while demand moves"};
    options.add_options()("seed", "seed of the run", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "load", "mean demand against the rate", cxxopts::value<double>()->default_value("0.7"))(
        "burst-used", "share of its burst that a customer uses at most",
        cxxopts::value<double>()->default_value("1"))("vms", "VMs in each of three regions",
                                                      cxxopts::value<int>()->default_value("2"))(
        "seconds", "measured virtual time", cxxopts::value<int>()->default_value("600"))(
        "shift", "mean seconds at one VM", cxxopts::value<int>()->default_value("20"));
    const auto parsed = options.parse(argc, argv);
    bench_settings settings;
    settings.seed = parsed["seed"].as<std::uint64_t>();
    settings.load = parsed["load"].as<double>();
    settings.burst_used = parsed["burst-used"].as<double>();
    settings.vms_per_region = parsed["vms"].as<int>();
    settings.length = std::chrono::seconds{parsed["seconds"].as<int>()};
    settings.mean_stay = std::chrono::seconds{parsed["shift"].as<int>()};
    compare(settings);
    return 0;
}
