#include "cardamomstream/request/gateway/hop_headers.h"

#include "cardamomstream/connection/header_number.h"
#include "cardamomstream/core/bounded_number.h"
#include "cardamomstream/request/gateway/gateway_types.h"

#include <algorithm>
#include <string>
#include <string_view>

#include <boost/beast/core/string.hpp>

namespace cardamomstream {

namespace {

constexpr std::string_view route_header = "Cs-Hop-Route";
constexpr std::string_view service_header = "Cs-Hop-Service";
constexpr std::string_view customer_header = "Cs-Hop-Customer";
constexpr std::string_view urgency_header = "Cs-Hop-Urgency";
constexpr std::string_view waited_header = "Cs-Hop-Waited-Ms";
constexpr std::string_view version_header = "Cs-Hop-Version";
constexpr std::string_view upstream_header = "Cs-Hop-Upstream";
constexpr std::string_view upstream_start_header = "Cs-Hop-Upstream-Started-Ms";
constexpr std::string_view unframed_header = "Cs-Hop-Unframed";
constexpr std::string_view final_refusal_header = "Cs-Hop-Refused-Ms";

std::optional<std::chrono::milliseconds> duration_of(const std::vector<http_header>& headers,
                                                     std::string_view name)
{
    const auto milliseconds =
        clamped_leading_number<std::int64_t>(header_value(headers, name), 0, max_stated_duration.count());
    return milliseconds ? std::optional(std::chrono::milliseconds(*milliseconds)) : std::nullopt;
}

} // namespace

void write_hop_headers(std::vector<http_header>& headers, const hop_details& hop)
{
    headers.push_back({std::string(route_header), hop.route.str()});
    headers.push_back({std::string(service_header), hop.service.str()});
    headers.push_back({std::string(customer_header), hop.customer.str()});
    headers.push_back({std::string(urgency_header), std::to_string(hop.urgency)});
    headers.push_back({std::string(waited_header), std::to_string(hop.waited.count())});
    set_answer_version(headers, hop.version);
}

std::optional<hop_details> read_hop_headers(const std::vector<http_header>& headers)
{
    hop_details hop;
    hop.route = route_name(std::string(header_value(headers, route_header)));
    hop.service = pool_name(std::string(header_value(headers, service_header)));
    hop.customer = customer_name(std::string(header_value(headers, customer_header)));
    const auto urgency = leading_number<int>(header_value(headers, urgency_header));
    const auto waited = duration_of(headers, waited_header);
    if (hop.service.empty() || !urgency || !waited) {
        return std::nullopt;
    }
    hop.version = answer_version(headers);
    hop.urgency = *urgency;
    hop.waited = *waited;
    return hop;
}

void remove_hop_headers(std::vector<http_header>& headers)
{
    for (const auto name :
         {route_header, service_header, customer_header, urgency_header, waited_header, version_header}) {
        remove_header(headers, name);
    }
}

void mark_final_refusal(std::vector<http_header>& headers, std::chrono::milliseconds retry_after)
{
    set_header(headers, std::string(final_refusal_header), std::to_string(retry_after.count()));
}

std::optional<std::chrono::milliseconds> final_refusal(const std::vector<http_header>& headers)
{
    return duration_of(headers, final_refusal_header);
}

void set_answer_version(std::vector<http_header>& headers, const std::optional<std::string>& version)
{
    remove_header(headers, version_header);
    if (version) {
        headers.push_back({std::string(version_header), *version});
    }
}

std::optional<std::string> answer_version(const std::vector<http_header>& headers)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [](const http_header& header) {
        return boost::beast::iequals(header.name, version_header);
    });
    return found == headers.end() ? std::nullopt : std::optional(found->value);
}

void set_answer_process(std::vector<http_header>& headers, const std::optional<upstream_process>& process)
{
    remove_header(headers, upstream_header);
    remove_header(headers, upstream_start_header);
    if (process) {
        headers.push_back({std::string(upstream_header), process->upstream.str()});
        headers.push_back({std::string(upstream_start_header), std::to_string(process->started_unix_ms)});
    }
}

std::optional<upstream_process> answer_process(const std::vector<http_header>& headers)
{
    const auto upstream = header_value(headers, upstream_header);
    const auto started = leading_number<std::int64_t>(header_value(headers, upstream_start_header));
    if (upstream.empty() || !started) {
        return std::nullopt;
    }
    return upstream_process{upstream_name(std::string(upstream)), *started};
}

void set_answer_unframed(std::vector<http_header>& headers, bool unframed)
{
    remove_header(headers, unframed_header);
    if (unframed) {
        headers.push_back({std::string(unframed_header), "1"});
    }
}

bool is_answer_unframed(const std::vector<http_header>& headers)
{
    return header_value(headers, unframed_header) == "1";
}

bool guarantees_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace cardamomstream
