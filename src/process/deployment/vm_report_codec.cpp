#include "cardamomstream/process/deployment/vm_report_codec.h"

#include <exception>

#include <boost/json.hpp>

namespace cardamomstream {

namespace json = boost::json;

namespace {

json::array encode_load(const upstream_load& load)
{
    json::array row{load.upstream.str(), load.running, load.memory_tokens, load.reading_left.count()};
    for (const auto part : load.new_parts) {
        row.emplace_back(part);
    }
    return row;
}

upstream_load decode_load(const json::array& row)
{
    upstream_load load;
    load.upstream = upstream_name(std::string(row.at(0).as_string()));
    load.running = row.at(1).to_number<std::uint32_t>();
    load.memory_tokens = row.at(2).to_number<token_count>();
    load.reading_left = std::chrono::milliseconds(row.at(3).to_number<std::int64_t>());
    for (std::size_t at = 4; at < row.size(); ++at) {
        load.new_parts.push_back(row.at(at).to_number<std::uint64_t>());
    }
    return load;
}

endpoint decode_endpoint(const json::value& value)
{
    const auto& pair = value.as_array();
    return {std::string(pair.at(0).as_string()), pair.at(1).to_number<std::uint16_t>()};
}

json::array encode_endpoint(const endpoint& value)
{
    return {value.address, value.port};
}

vm_report decode_members(const json::object& root)
{
    vm_report report;
    report.vm = vm_name(std::string(root.at("vm").as_string()));
    report.process = {root.at("process").to_number<std::uint64_t>()};
    report.sequence = root.at("seq").to_number<std::uint64_t>();
    report.region = region_name(std::string(root.at("region").as_string()));
    report.data_centre = data_centre_name(std::string(root.at("dc").as_string()));
    report.entry = decode_endpoint(root.at("entry"));
    report.inner = decode_endpoint(root.at("inner"));
    report.ready = root.at("ready").as_bool();
    report.leaving = root.at("leaving").as_bool();
    report.plan_version = root.at("plan").to_number<version_number>();
    report.speaks_for_region = root.at("for_region").as_bool();
    for (const auto& vm : root.at("vms").as_array()) {
        report.known_vms.push_back(decode_endpoint(vm));
    }
    for (const auto& row : root.at("loads").as_array()) {
        report.loads.push_back(decode_load(row.as_array()));
    }
    for (const auto& use : root.at("uses").as_array()) {
        const auto& pair = use.as_array();
        report.uses.push_back(
            {customer_name(std::string(pair.at(0).as_string())), pair.at(1).to_number<double>()});
    }
    return report;
}

} // namespace

std::string encode_report(const vm_report& report)
{
    json::array vms;
    for (const auto& vm : report.known_vms) {
        vms.push_back(encode_endpoint(vm));
    }
    json::array loads;
    for (const auto& load : report.loads) {
        loads.push_back(encode_load(load));
    }
    json::array uses;
    for (const auto& use : report.uses) {
        uses.push_back(json::array{use.customer.str(), use.admitted});
    }
    const json::object root{{"vm", report.vm.str()},
                            {"process", report.process.value},
                            {"seq", report.sequence},
                            {"region", report.region.str()},
                            {"dc", report.data_centre.str()},
                            {"entry", encode_endpoint(report.entry)},
                            {"inner", encode_endpoint(report.inner)},
                            {"ready", report.ready},
                            {"leaving", report.leaving},
                            {"plan", report.plan_version},
                            {"for_region", report.speaks_for_region},
                            {"vms", std::move(vms)},
                            {"loads", std::move(loads)},
                            {"uses", std::move(uses)}};
    return json::serialize(root);
}

result<vm_report> decode_report(std::string_view text)
{
    boost::system::error_code ec;
    const auto value = json::parse(json::string_view(text.data(), text.size()), ec);
    if (!ec && value.is_object()) {
        try {
            return decode_members(value.as_object());
        }
        catch (const std::exception&) {
            // A member is missing or of another type: refused below like text that is no JSON.
        }
    }
    return error{error_kind::invalid_argument,
                 "a datagram on the inner port is no VM report",
                 "check that only VMs of one release send to the inner port",
                 {},
                 {}};
}

} // namespace cardamomstream
