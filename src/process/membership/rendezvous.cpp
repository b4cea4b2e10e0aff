#include "cardamomstream/process/rendezvous.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cardamomstream {

namespace {

constexpr std::size_t tag_bytes = 2;
constexpr std::size_t fixed64_bytes = 8;
constexpr unsigned varint_bits = 7;

std::size_t varint_bytes(std::uint64_t value)
{
    std::size_t bytes = 1;
    while (value >= (1U << varint_bits)) {
        value >>= varint_bits;
        ++bytes;
    }
    return bytes;
}

std::size_t number_bytes(std::uint64_t value)
{
    return tag_bytes + varint_bytes(value);
}

std::size_t block_bytes(std::size_t length)
{
    return number_bytes(length) + length;
}

std::size_t stamp_bytes(const heartbeat_stamp& value)
{
    return block_bytes(number_bytes(value.generation) + tag_bytes + fixed64_bytes +
                       number_bytes(value.counter));
}

std::size_t successor_bytes(const std::optional<named_successor>& value)
{
    return value ? block_bytes(block_bytes(value->vm.str().size()) + tag_bytes + fixed64_bytes) : 0;
}

std::size_t loads_bytes(const std::map<pool_name, pool_load>& loads)
{
    std::size_t bytes = 0;
    for (const auto& [pool, load] : loads) {
        bytes += block_bytes(block_bytes(pool.str().size()) + number_bytes(load.in_flight) +
                             number_bytes(load.queued) + number_bytes(load.slots));
    }
    return bytes;
}

std::size_t heartbeat_bytes(const heartbeat& value)
{
    constexpr std::size_t double_bytes = tag_bytes + fixed64_bytes;
    std::size_t bytes = block_bytes(value.vm.str().size()) + stamp_bytes(value.stamp) +
                        number_bytes(value.applied_version) +
                        number_bytes(static_cast<std::uint64_t>(value.confirmed_age.count())) + tag_bytes +
                        1 + successor_bytes(value.successor) + loads_bytes(value.loads);
    for (const auto& report : value.allowance) {
        bytes += block_bytes(block_bytes(report.customer.str().size()) + 3 * double_bytes +
                             number_bytes(static_cast<std::uint64_t>(report.spare_level)));
    }
    return block_bytes(bytes);
}

std::size_t record_bytes(const member_record& value)
{
    return block_bytes(block_bytes(value.vm.str().size()) + stamp_bytes(value.stamp) +
                       number_bytes(value.applied_version) + tag_bytes + 1 +
                       successor_bytes(value.successor));
}

} // namespace

std::vector<vm_name> rank_by_rendezvous(std::string_view key, std::vector<vm_name> names)
{
    std::vector<std::pair<std::uint64_t, vm_name>> weighted;
    weighted.reserve(names.size());
    for (auto& candidate : names) {
        const std::string input = std::string{key} + '\n' + candidate.str();
        weighted.emplace_back(XXH3_64bits(input.data(), input.size()), std::move(candidate));
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second.str() < right.second.str();
    });
    names.clear();
    for (auto& [weight, candidate] : weighted) {
        names.push_back(std::move(candidate));
    }
    return names;
}

std::uint64_t digest_members(const std::vector<member_record>& members)
{
    std::string input;
    for (const auto& member : members) {
        input += member.vm.str() + '\n' + std::to_string(member.stamp.generation) + ' ' +
                 std::to_string(member.stamp.process.value) + (member.leaving ? " leaving\n" : "\n");
        if (member.successor) {
            input +=
                member.successor->vm.str() + ' ' + std::to_string(member.successor->process.value) + '\n';
        }
    }
    return XXH3_64bits(input.data(), input.size());
}

std::size_t encoded_size_bound(const data_centre_summary& summary)
{
    std::size_t bytes =
        block_bytes(summary.region.str().size()) + block_bytes(summary.data_centre.str().size()) +
        block_bytes(summary.origin.str().size()) + stamp_bytes(summary.stamp) +
        number_bytes(summary.lowest_version) + tag_bytes + fixed64_bytes + loads_bytes(summary.loads);
    for (const auto& member : summary.members) {
        bytes += record_bytes(member);
    }
    return block_bytes(bytes);
}

std::size_t encoded_size_bound(const membership_message& message)
{
    std::size_t bytes = heartbeat_bytes(message.sender);
    if (message.about_receiver) {
        bytes += stamp_bytes(*message.about_receiver);
    }
    for (const auto& summary : message.summaries) {
        bytes += encoded_size_bound(summary);
    }
    for (const auto& wanted : message.wanted_members) {
        bytes += block_bytes(wanted.str().size());
    }
    return bytes;
}

} // namespace cardamomstream
