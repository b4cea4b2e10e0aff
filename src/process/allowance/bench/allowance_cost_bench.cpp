/// Measures the cost of the allowance at one VM of a large fleet: time per request and per tick, memory per
/// customer.
#include "cardamomstream/process/allowance_book.h"

#include <memory>
#include <string>

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

constexpr int vm_count = 970;

rules_snapshot large_rules(int customers)
{
    auto published = std::make_shared<rules>();
    published->version = 1;
    for (int number = 0; number < vm_count; ++number) {
        published->vms[vm_name{"vm-" + std::to_string(number)}].region =
            region_name{"region-" + std::to_string(number % 25)};
    }
    for (int number = 0; number < customers; ++number) {
        customer_rule& customer = published->customers[customer_name{"customer-" + std::to_string(number)}];
        customer.rate = {4e9};
        customer.burst = 40'000'000'000;
    }
    return published;
}

allowance_book large_book(const rules_snapshot& published)
{
    const vm_name self{"vm-1"};
    allowance_book book{self, incarnation{1}, {}, time_point{}};
    book.apply(published, {{}, {self}, {}}, time_point{});
    return book;
}

void admit_and_settle(benchmark::State& state)
{
    const auto customers = static_cast<int>(state.range(0));
    allowance_book book = large_book(large_rules(customers));
    time_point now{10s};
    int number = 0;
    for (auto _ : state) {
        now += 1ms;
        const customer_name customer{"customer-" + std::to_string(++number % customers)};
        auto open = book.admit(customer, 400, now);
        if (!open) {
            state.SkipWithError("refused");
            break;
        }
        book.settle(open.value(), 200, now);
    }
}
BENCHMARK(admit_and_settle)->Arg(5)->Arg(920);

void advance_and_plan(benchmark::State& state)
{
    allowance_book book = large_book(large_rules(static_cast<int>(state.range(0))));
    time_point now{10s};
    for (auto _ : state) {
        now += 100ms;
        book.advance(now);
        benchmark::DoNotOptimize(book.plan_loans_ahead(64, now));
    }
}
BENCHMARK(advance_and_plan)->Arg(5)->Arg(920);

void bytes_for_each_customer(benchmark::State& state)
{
    const auto customers = static_cast<int>(state.range(0));
    const rules_snapshot published = large_rules(customers);
    double bytes = 0;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        const allowance_book book = large_book(published);
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes_per_customer"] = bytes / customers;
}
BENCHMARK(bytes_for_each_customer)->Arg(920)->Iterations(3);

} // namespace

BENCHMARK_MAIN();
